"""Filter: whether this daemon may serve a key now. No input or output."""

import attrs

from tamarackhaven._model import ZoneState
from tamarackhaven.errors import ErrorKind, TamarackhavenError

RETRY_AFTER_S = 0.5


@attrs.frozen
class Standing:
    """What this daemon knows of itself at one moment.

    Parameters
    ----------
    service, target : str
        The target beside it.
    draining : bool
        It takes no new work.
    zone : ZoneState
        State of its availability zone.
    confirmed_s : float
        When its state was last confirmed, in seconds of CLOCK_BOOTTIME.
    """

    service: str
    target: str
    draining: bool
    zone: ZoneState
    confirmed_s: float


def verify(located, standing, lease, stale_s, now):
    """Refuse a request that this daemon may not serve at ``now``.

    Raises
    ------
    TamarackhavenError
        NOT_OWNER, DRAINING, ZONE_OUT, STATE_STALE or LEASE_LOST; none of them ran.
    """
    if not is_owner(located, standing):
        raise _refusal(ErrorKind.NOT_OWNER)
    if standing.draining:
        raise _refusal(ErrorKind.DRAINING)
    if standing.zone is ZoneState.OUT:
        raise _refusal(ErrorKind.ZONE_OUT)
    if now - standing.confirmed_s > stale_s:
        raise _refusal(ErrorKind.STATE_STALE)
    # A daemon that was paused comes back believing in its map. Without this check it
    # would serve a key that another target owns by now; the lease's end is counted
    # from the renewal's sending on a clock that ran on meanwhile.
    if not lease.holds(now):
        raise _refusal(ErrorKind.LEASE_LOST)
    # A daemon that was retired and joined again holds the lease of its new epoch while
    # its map still shows the shards of the old one, which others own by now. Only a
    # grant to the epoch that the lease is for is this daemon's.
    if located.grant.epoch != lease.epoch():
        raise _refusal(ErrorKind.LEASE_LOST)


def is_owner(located, standing):
    """Return whether the key belongs to the target beside this daemon."""
    grant = located.grant
    return (grant.service, grant.owner) == (standing.service, standing.target)


def _refusal(kind):
    return TamarackhavenError(kind, "", RETRY_AFTER_S)
