"""A bounded queue that shares a target fairly between keys and between callers.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) in two dimensions: each request
carries the virtual start time of its key and of its caller, and the later of the two
orders it. The n-th round of requests of a key or caller is therefore queued behind the
first n - 1 rounds of all others, and a hot key or a scanning caller delays mostly its
own requests.
"""

import bisect

import attrs

# Size of a round, the requests of one key or caller that count as equal, as a fraction
# of the queue. Within a round, requests are ordered by deadline. With rounds of one
# request, callers that were briefly busy by chance waited for all others: p99 of
# lookups at 1x load was 840 ms, against 640 ms for first come, first served.
ROUND_FRACTION = 1 / 16


@attrs.frozen
class QueuedRequest:
    """One queued request.

    Parameters
    ----------
    order : tuple
        Round number, then deadline in seconds, then arrival number.
    offer : Offer
        The request.
    start_by_s : float
        Time of the latest useful start, in seconds of the gate's clock.
    """

    order: tuple
    offer: object
    start_by_s: float


class _ShareTable:
    """Virtual times and request counts of the keys, or of the callers."""

    def __init__(self):
        self._finish_by_id = {}
        self.waiting_by_id = {}
        self.running_by_id = {}

    def start(self, name, virtual):
        """Return the virtual start of the next request of ``name``."""
        return max(virtual, self._finish_by_id.get(name, 0))

    def charge(self, name, virtual):
        """Add one request of ``name`` and return its virtual start."""
        start = self.start(name, virtual)
        self._finish_by_id[name] = start + 1
        return start

    def forget(self, virtual):
        """Remove finish times up to ``virtual``; this bounds memory by the queue."""
        expired = [n for n, finish in self._finish_by_id.items() if finish <= virtual]
        for name in expired:
            del self._finish_by_id[name]


def _add_to_count(count_by_id, name, change):
    count = count_by_id.get(name, 0) + change
    if count:
        count_by_id[name] = count
    else:
        count_by_id.pop(name, None)


class FairQueue:
    """Requests queued for one target, in fair order.

    Without shares, one hot key, or one caller with many keys, could fill the queue
    while demand briefly exceeds the limit, and all others would be refused. The queue
    holds at most ``queue_requests``, so a linear scan of it is cheap.

    Parameters
    ----------
    settings : GateSettings
        Queue size and fair shares.
    """

    def __init__(self, settings):
        self._settings = settings
        self._keys = _ShareTable()
        self._callers = _ShareTable()
        self._entries = []
        self._virtual = 0
        self._arrivals = 0
        self._round_size = max(1, int(ROUND_FRACTION * settings.queue_requests))

    def __len__(self):
        return len(self._entries)

    @property
    def entries(self):
        """The queued requests in fair order."""
        return tuple(self._entries)

    @property
    def full(self):
        """Whether the queue has reached ``queue_requests``."""
        return len(self._entries) >= self._settings.queue_requests

    def key_over_share(self, offer):
        """Return whether the key already uses its share of the queue.

        The share also applies while no other key waits: otherwise a hot key could
        fill the queue before requests for other keys arrive.
        """
        return self._is_over_share(self._keys, offer.key_hash, self._settings.key_share)

    def caller_over_share(self, offer):
        """Return whether the caller already uses its share of the queue."""
        return self._is_over_share(
            self._callers, offer.caller, self._settings.caller_share
        )

    def _is_over_share(self, shares, name, share):
        allowed = max(1, int(share * self._settings.queue_requests))
        return shares.waiting_by_id.get(name, 0) >= allowed

    def position_of(self, offer):
        """Return how many requests would start before ``offer``."""
        return bisect.bisect(self._entries, self._order(offer), key=_order_of)

    def _order(self, offer):
        start = max(
            self._keys.start(offer.key_hash, self._virtual),
            self._callers.start(offer.caller, self._virtual),
        )
        return (start // self._round_size, offer.deadline_s, self._arrivals)

    def push(self, offer, start_by_s):
        """Add ``offer`` to the queue, to start by ``start_by_s`` (seconds)."""
        entry = QueuedRequest(self._order(offer), offer, start_by_s)
        self._arrivals += 1
        self._charge(offer)
        bisect.insort(self._entries, entry, key=_order_of)
        _add_to_count(self._keys.waiting_by_id, offer.key_hash, 1)
        _add_to_count(self._callers.waiting_by_id, offer.caller, 1)

    def _charge(self, offer):
        self._keys.charge(offer.key_hash, self._virtual)
        self._callers.charge(offer.caller, self._virtual)

    def started(self, offer, queued):
        """Count ``offer`` as running and charge it now if it was never queued."""
        if not queued:
            self._charge(offer)
        _add_to_count(self._keys.running_by_id, offer.key_hash, 1)
        _add_to_count(self._callers.running_by_id, offer.caller, 1)
        if not self._entries:
            self._virtual += 1
            self._forget()

    def ended(self, offer):
        """Count ``offer`` as no longer running."""
        _add_to_count(self._keys.running_by_id, offer.key_hash, -1)
        _add_to_count(self._callers.running_by_id, offer.caller, -1)

    def _forget(self):
        self._keys.forget(self._virtual)
        self._callers.forget(self._virtual)

    def pop(self, limit):
        """Remove and return the request to start next.

        It is the first in fair order whose key and caller run fewer requests than
        their share of ``limit``, so that a key with long requests can't occupy one
        slot after another until it has all. If there is none, the first request
        starts, as an idle slot would benefit no request.
        """
        entry = self._first_under_share(limit) or self._entries[0]
        self._virtual = max(self._virtual, entry.order[0] * self._round_size)
        self.remove(entry)
        self._forget()
        return entry

    def _first_under_share(self, limit):
        key_slots = max(1, int(self._settings.key_share * limit))
        caller_slots = max(1, int(self._settings.caller_share * limit))
        keys, callers = self._keys.running_by_id, self._callers.running_by_id
        for entry in self._entries:
            offer = entry.offer
            if (
                keys.get(offer.key_hash, 0) < key_slots
                and callers.get(offer.caller, 0) < caller_slots
            ):
                return entry
        return None

    def remove(self, entry):
        """Remove ``entry`` from the queue."""
        self._entries.remove(entry)
        _add_to_count(self._keys.waiting_by_id, entry.offer.key_hash, -1)
        _add_to_count(self._callers.waiting_by_id, entry.offer.caller, -1)

    def find(self, request_id):
        """Return the entry of ``request_id``, or None."""
        for entry in self._entries:
            if entry.offer.request_id == request_id:
                return entry
        return None


def _order_of(entry):
    return entry.order
