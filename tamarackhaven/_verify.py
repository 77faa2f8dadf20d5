"""Filter that checks whether this daemon may serve a key now. No I/O."""

import attrs

from tamarackhaven._model import ZoneState
from tamarackhaven.errors import ErrorKind, TamarackhavenError

RETRY_AFTER_S = 0.5


@attrs.frozen
class DaemonStatus:
    """The status of this daemon at one moment.

    Parameters
    ----------
    service, target : str
        The target on the same VM.
    draining : bool
        Whether it refuses new requests.
    zone : ZoneState
        State of the daemon's availability zone.
    confirmed_s : float
        When its view of the state was last confirmed, in seconds of CLOCK_BOOTTIME.
    """

    service: str
    target: str
    draining: bool
    zone: ZoneState
    confirmed_s: float


def verify(located, status, lease, stale_s, now):
    """Refuse a request that this daemon may not serve at ``now``.

    ``stale_s`` is the greatest age of a confirmed view, in seconds; ``now`` is in
    seconds of CLOCK_BOOTTIME.

    Raises
    ------
    TamarackhavenError
        NOT_OWNER, DRAINING, ZONE_OUT, STATE_STALE or LEASE_LOST; the request
        did not run.
    """
    if not is_owner(located, status):
        raise _refusal_error(ErrorKind.NOT_OWNER)
    if status.draining:
        raise _refusal_error(ErrorKind.DRAINING)
    if status.zone is ZoneState.OUT:
        raise _refusal_error(ErrorKind.ZONE_OUT)
    if now - status.confirmed_s > stale_s:
        raise _refusal_error(ErrorKind.STATE_STALE)
    # A daemon that resumes after a pause still has its old map and would serve a key
    # that another target owns by now. The lease check is sufficient because the lease
    # expires a fixed time after its renewal was sent, on a clock that also runs during
    # the pause.
    if not lease.holds(now):
        raise _refusal_error(ErrorKind.LEASE_LOST)
    # A daemon that was retired and joined again holds the lease of its new epoch, but
    # its map may still list shards granted to the old epoch, which other targets own by
    # now. Only grants to the epoch of the lease are valid.
    if located.grant.epoch != lease.epoch():
        raise _refusal_error(ErrorKind.LEASE_LOST)


def is_owner(located, status):
    """Return whether this daemon's target owns the key."""
    grant = located.grant
    return (grant.service, grant.owner) == (status.service, status.target)


def _refusal_error(kind):
    return TamarackhavenError(kind, "", RETRY_AFTER_S)
