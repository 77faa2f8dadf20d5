"""The requests that a target was sent and hasn't answered. Pure."""

import collections

import attrs

# A target goes on with a request whose caller has left or whose time is over, and may
# end under it for this long. No route's usual work lasts longer.
UNANSWERED_TTL_S = 5.0
MAX_UNANSWERED = 256


@attrs.frozen
class OpenRequest:
    """A request that a target was sent.

    Parameters
    ----------
    life : str
        Of the target.
    attempt_id : str
        As the caller sent it.
    digest : bytes
        Of what it asks for.
    """

    life: str
    attempt_id: str
    digest: bytes


class OpenRequests:
    """Requests that are at the target, or were left unanswered a short time ago."""

    def __init__(self):
        self._running = {}
        self._unanswered = collections.deque(maxlen=MAX_UNANSWERED)

    def begin(self, number, request):
        """Record that an ``OpenRequest`` is sent; ``number`` is unique."""
        self._running[number] = request

    def close(self, number):
        """Record that the target answered a request, or wasn't sent it."""
        self._running.pop(number, None)

    def unanswered(self, number, now):
        """Record that nothing waits for the answer to a request any more.

        ``now`` is in seconds of the boot clock.
        """
        request = self._running.pop(number, None)
        if request is not None:
            self._unanswered.append((now, request))

    def unresolved(self, now):
        """Return the requests under which their target may still end, as a list.

        ``now`` is in seconds of the boot clock.
        """
        recent = [
            request
            for since_s, request in self._unanswered
            if now - since_s <= UNANSWERED_TTL_S
        ]
        return [*recent, *self._running.values()]

    def take(self, life, now):
        """Remove and return the requests of a life that has ended.

        ``now`` is in seconds of the boot clock.
        """
        taken = [each for each in self.unresolved(now) if each.life == life]
        self._running = {
            number: each for number, each in self._running.items() if each.life != life
        }
        kept = [each for each in self._unanswered if each[1].life != life]
        self._unanswered = collections.deque(kept, MAX_UNANSWERED)
        return tuple(taken)
