"""Reloads the configuration on SIGHUP.

A file that can't be read yet is retried, as the platform need not send a second signal.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from swiftwell.settings import platform as config
from swiftwell.settings.platform import ConfigError, Platform

RELOAD_TIMEOUT_S = 3.0  # its changes count as delivered 4 s after the signal
RETRY_INTERVAL_S = 0.05  # a file that is being replaced is complete soon


class ConfigurationReload:
    """Calls `on_loaded` with each configuration that was read, and `on_failed` where none could be."""

    def __init__(
        self,
        file: str,
        on_loaded: Callable[[Platform], None],
        on_failed: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._file, self._on_loaded, self._on_failed, self._log = file, on_loaded, on_failed, log
        self._deadline = 0.0
        self._retry: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Starts a reload, or extends the one that is under way."""
        self._deadline = time.monotonic() + RELOAD_TIMEOUT_S
        self._read(first=True)

    def close(self) -> None:
        """Cancels the next retry."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _read(self, first: bool = False) -> None:
        self.close()
        try:
            platform = config.read(Path(self._file).read_bytes(), self._file)
        except (OSError, ConfigError) as error:
            timed_out = time.monotonic() >= self._deadline
            if first or timed_out:
                self._log("error", "configuration-kept", why=str(error), again=not timed_out)
            if timed_out:
                self._on_failed()
            else:
                self._retry = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._read)
            return
        self._on_loaded(platform)
