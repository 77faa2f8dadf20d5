"""What the request path needs from the rest of the daemon, as protocols."""

from typing import Protocol

import attrs

from tamarackhaven._model import PolicyMode, Service, ShardGrant, TargetMember


@attrs.frozen
class Located:
    """Where a key belongs, as one version of the state has it.

    Parameters
    ----------
    grant : ShardGrant
        The grant of the key's shard, or of the key itself if it is pinned.
    owner : TargetMember or None
        The owning target; None if the shard has no owner.
    service : Service
        The service that the key belongs to.
    mode : PolicyMode
        Of the service. A key of a shared one has no owner.
    """

    grant: ShardGrant
    owner: TargetMember | None
    service: Service
    mode: PolicyMode = PolicyMode.EXCLUSIVE


class View(Protocol):
    """The state of the control group as this daemon knows it."""

    @property
    def version(self) -> int:
        """Version of the state; it never falls."""

    def locate(self, service: str, key_hash: int) -> Located:
        """Return where a key belongs.

        Raises
        ------
        TamarackhavenError
            UNKNOWN_SERVICE if there is no such service.
        """

    def takers(self, service: str) -> list[TargetMember]:
        """Return the targets of a service that may get new work."""

    def member(self, service: str, target: str) -> TargetMember | None:
        """Return one target, or None."""


class Lease(Protocol):
    """The lease of the target beside this daemon; times are of CLOCK_BOOTTIME."""

    def holds(self, now: float) -> bool:
        """Return whether the lease holds at ``now``, in seconds."""

    def held_until(self, now: float) -> float:
        """Return the end of the lease as known at ``now``, in seconds."""

    def epoch(self) -> int:
        """Return the epoch that the lease is for, 0 if there is none."""


class Clock(Protocol):
    """The two clocks; the module ``_clock`` is one."""

    def boot_s(self) -> float:
        """Return seconds since boot, suspension included."""

    def unix_s(self) -> float:
        """Return seconds of wall-clock time."""
