"""The shards that this daemon's target owns, and the requests in flight in each."""

import threading
from collections import Counter

from tamarackhaven.errors import ErrorKind, TamarackhavenError

RETRY_AFTER_S = 0.2


class Grants:
    """Counts requests in flight by shard; a stopped shard takes no new one.

    Parameters
    ----------
    ledger : Ledger
        Adopts and drops the bookings of a shard with its grant.
    clock : Clock
        For the ledger.
    """

    def __init__(self, ledger, clock):
        self._ledger = ledger
        self._clock = clock
        self._lock = threading.Condition()
        self._grant_by_shard = {}
        self._stopped_by_shard = {}
        self._in_flight_by_shard = Counter()

    def replace(self, grants):
        """Own exactly ``grants`` from now on."""
        new_by_shard = {(g.service, g.shard): g.grant for g in grants}
        now_unix = self._clock.unix_s()
        with self._lock:
            for shard in self._grant_by_shard.keys() - new_by_shard.keys():
                self._ledger.drop(*shard)
                self._stopped_by_shard.pop(shard, None)
            for shard, grant in new_by_shard.items():
                if self._grant_by_shard.get(shard) != grant:
                    self._ledger.adopt(*shard, grant, now_unix)
                    self._stopped_by_shard.pop(shard, None)
            self._grant_by_shard = new_by_shard

    def stop(self, shard):
        """Take no new request of a shard, a pair of service and number."""
        with self._lock:
            self._stopped_by_shard[shard] = self._grant_by_shard.get(shard)

    def resume(self, shard):
        """Take requests of a stopped shard again."""
        with self._lock:
            self._stopped_by_shard.pop(shard, None)

    def enter(self, grant):
        """Count a request in.

        Raises
        ------
        TamarackhavenError
            MOVING if the shard is stopped, or if its grant has not arrived yet.
        """
        shard = (grant.service, grant.shard)
        with self._lock:
            # One step under one lock: were the check apart from the count, a request
            # between them would run after the shard was released.
            known = self._grant_by_shard.get(shard) == grant.grant
            if not known or shard in self._stopped_by_shard:
                raise TamarackhavenError(ErrorKind.MOVING, "", RETRY_AFTER_S)
            self._in_flight_by_shard[shard] += 1

    def leave(self, grant):
        """Count a request out."""
        shard = (grant.service, grant.shard)
        with self._lock:
            self._in_flight_by_shard[shard] -= 1
            if not self._in_flight_by_shard[shard]:
                del self._in_flight_by_shard[shard]
            self._lock.notify_all()

    def in_flight(self, shard):
        """Return the number of requests in flight in a shard."""
        with self._lock:
            return self._in_flight_by_shard[shard]
