"""The target size, and the bounds for the figures at that size."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """The size that operators expect to run within two years, and the bounds per router."""

    routers: int = 1_400
    instances: int = 170_000
    functions: int = 55_000
    calls_per_s: float = 230_000.0  # over all routers
    regions: int = 2
    zones: int = 6
    changes_per_day: int = 770  # changes of the configuration
    configuration_s: float = 6.0  # time until a configuration change is in force everywhere
    control_cores: float = 0.026  # share of a core that control may use at each router
    control_mb: float = 32.0
    control_bytes_per_s: float = 20_000.0
    router_mb: float = 192.0  # total memory of a router
    router_sockets: int = 1_024
    copies_per_worker: int = 40  # assumed: a few thousand workers hold the instances

    @property
    def workers(self) -> int:
        """Number of listed workers if each instance is a copy on a worker."""
        return self.instances // self.copies_per_worker

    @property
    def router_calls_per_s(self) -> float:
        """Calls per second of a mean router."""
        return self.calls_per_s / self.routers


TARGET = Target()
