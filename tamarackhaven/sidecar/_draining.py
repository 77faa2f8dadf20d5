"""How long a target that leaves may get new requests. Pure."""

# A leaving owner continues to serve its keys while they move, until this long before it
# has to stop. Requests that are in flight by then arrive within this time.
DRAIN_MARGIN_S = 0.5


def accepts_new(is_sharded, leaving_since_s, drain_s, now):
    """Whether a target may get a new request, as far as its leaving is concerned.

    Parameters
    ----------
    is_sharded : bool
        Whether the request is for a key, which only its owner serves.
    leaving_since_s : float or None
        When it announced that it leaves, in seconds of the boot clock; None if it
        hasn't.
    drain_s : float
        How long after that it may get requests.
    now : float
        Seconds of the boot clock.
    """
    if leaving_since_s is None:
        return True
    return is_sharded and now - leaving_since_s < max(drain_s - DRAIN_MARGIN_S, 0.0)
