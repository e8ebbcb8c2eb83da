"""A new configuration on SIGHUP: read again while it can't be, as no second signal need come."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from swiftwell.settings import platform as config
from swiftwell.settings.platform import ConfigError, Platform

RELOAD_S = 3.0  # s for which a file is read again; what it tells counts as told 4 s after the signal
WAIT_S = 0.05  # s between two tries: a file that is being replaced is whole soon


class ConfigurationReload:
    """`take` is given each configuration that could be read, `kept` is called where none could be."""

    def __init__(
        self,
        file: str,
        take: Callable[[Platform], None],
        kept: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._file, self._take, self._kept, self._log = file, take, kept, log
        self._until = 0.0
        self._again: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """The signal has come, perhaps once more."""
        self._until = time.monotonic() + RELOAD_S
        self._read(first=True)

    def close(self) -> None:
        """No try follows any more."""
        if self._again is not None:
            self._again.cancel()
            self._again = None

    def _read(self, first: bool = False) -> None:
        self.close()
        try:
            found = config.read(Path(self._file).read_bytes(), self._file)
        except (OSError, ConfigError) as error:
            over = time.monotonic() >= self._until
            if first or over:
                self._log("error", "configuration-kept", why=str(error), again=not over)
            if over:
                self._kept()
            else:
                self._again = asyncio.get_running_loop().call_later(WAIT_S, self._read)
            return
        self._take(found)
