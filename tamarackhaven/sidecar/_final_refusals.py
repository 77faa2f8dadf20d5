"""Refusals after which callers don't return, and when a daemon may send them. Pure."""

from tamarackhaven.errors import ErrorKind, TamarackhavenError

# A daemon without the newest configuration usually receives it within this time.
UNKNOWN_STATE_RETRY_S = 0.3
# These follow from the configuration: a newer one may have the route, may no longer
# divide the service by keys, or may allow larger requests.
_KINDS = frozenset(
    {
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.MISSING_KEY,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
    }
)


def confirmed_refusal(error, is_confirmed):
    """Return the error to send, STATE_STALE if ``error`` may be wrong.

    Parameters
    ----------
    error : TamarackhavenError
        Found by the configuration in force at this daemon.
    is_confirmed : bool
        Whether that was the leader's until recently.
    """
    if is_confirmed or error.kind not in _KINDS:
        return error
    return TamarackhavenError(
        ErrorKind.STATE_STALE,
        f"{error.kind.name} {error.detail}, by a configuration that is not confirmed",
        UNKNOWN_STATE_RETRY_S,
    )
