"""Interfaces that the request path uses, as ``typing`` protocols."""

from typing import Protocol

import attrs

from tamarackhaven._model import PolicyMode, Service, ShardGrant, TargetMember


@attrs.frozen
class Located:
    """The grant and the owner of a key, in one version of the state.

    Parameters
    ----------
    grant : ShardGrant
        The grant of the key's shard, or of the key itself if it is pinned.
    owner : TargetMember or None
        The target that owns the key; None if it has no owner.
    service : Service
        The service that the key belongs to.
    mode : PolicyMode
        Mode of the service. The keys of a shared service have no owner.
    """

    grant: ShardGrant
    owner: TargetMember | None
    service: Service
    mode: PolicyMode = PolicyMode.EXCLUSIVE


class View(Protocol):
    """The control group's state as known to this daemon."""

    @property
    def version(self) -> int:
        """Version of the state; it never decreases."""

    def locate(self, service: str, key_hash: int) -> Located:
        """Return the grant and the owner of a key.

        Raises
        ------
        TamarackhavenError
            UNKNOWN_SERVICE if there is no such service.
        """

    def accepting_targets(self, service: str) -> list[TargetMember]:
        """Return the targets of a service that accept new requests."""

    def member(self, service: str, target: str) -> TargetMember | None:
        """Return a target of a service, or None if it isn't a member."""


class Lease(Protocol):
    """The lease of this daemon's target; times are CLOCK_BOOTTIME seconds."""

    def holds(self, now: float) -> bool:
        """Return whether the lease is valid at ``now``, in seconds."""

    def held_until(self, now: float) -> float:
        """Return when the lease expires, as known at ``now``, both in seconds."""

    def epoch(self) -> int:
        """Return the epoch of the lease, 0 if there is none."""


class Clock(Protocol):
    """Source of the two clocks; the module ``_clock`` implements it."""

    def boot_s(self) -> float:
        """Return seconds since boot, including suspension."""

    def unix_s(self) -> float:
        """Return Unix time in seconds."""
