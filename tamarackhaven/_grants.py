"""The shards that this daemon's target owns, and the requests in flight in each."""

import threading
from collections import Counter

from tamarackhaven._keys import shard_of
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
        self._in_flight = Counter()  # by service, shard and key hash

    def replace(self, grants, pop_part=None, shard_count=0):
        """Own exactly ``grants`` from now on.

        Parameters
        ----------
        grants : list of ShardGrant
            All that the target owns.
        pop_part : callable or None
            ``pop_part(service, shard)`` returns the ``LedgerPart`` that the former
            owner sent, or None.
        shard_count : int
            Of the service; shards from there on are pinned keys.
        """
        new_by_shard = {(g.service, g.shard): g for g in grants}
        now_unix = self._clock.unix_s()
        with self._lock:
            for shard in self._grant_by_shard.keys() - new_by_shard.keys():
                self._drop(shard, shard_count, now_unix)
            for shard, grant in new_by_shard.items():
                known = self._grant_by_shard.get(shard)
                if known is None or known.grant != grant.grant:
                    self._adopt(grant, pop_part, now_unix)
                    self._stopped_by_shard.pop(shard, None)
            self._grant_by_shard = new_by_shard

    def _adopt(self, grant, pop_part, now_unix):
        part = pop_part(grant.service, grant.shard) if pop_part else None
        if part is None:
            self._ledger.adopt(grant.service, grant.shard, grant.grant, now_unix)
        else:
            self._ledger.import_(part, grant.grant, grant.previous, now_unix)

    def _drop(self, shard, shard_count, now_unix):
        self._ledger.drop(*shard)
        self._stopped_by_shard.pop(shard, None)
        key_hash = self._grant_by_shard[shard].key_hash
        if key_hash and shard_count:
            base = shard_of(key_hash, shard_count)
            self._ledger.restart(shard[0], base, now_unix)

    def stop(self, shard):
        """Take no new request of a shard, a pair of service and number."""
        with self._lock:
            self._stopped_by_shard[shard] = True

    def resume(self, shard):
        """Take requests of a stopped shard again."""
        with self._lock:
            self._stopped_by_shard.pop(shard, None)

    def enter(self, grant, key_hash):
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
            known = self._grant_by_shard.get(shard)
            mine = known is not None and known.grant == grant.grant
            if not mine or shard in self._stopped_by_shard:
                raise TamarackhavenError(ErrorKind.MOVING, "", RETRY_AFTER_S)
            self._in_flight[*shard, key_hash] += 1

    def enter_shared(self, grant, key_hash):
        """Count in a request of a shared service, whose keys are granted to nobody."""
        with self._lock:
            self._in_flight[grant.service, grant.shard, key_hash] += 1

    def leave(self, grant, key_hash):
        """Count a request out."""
        entry = (grant.service, grant.shard, key_hash)
        with self._lock:
            self._in_flight[entry] -= 1
            if not self._in_flight[entry]:
                del self._in_flight[entry]

    def in_flight(self, shard):
        """Return the number of requests in flight in a shard."""
        with self._lock:
            return sum(
                count for entry, count in self._in_flight.items() if entry[:2] == shard
            )

    def in_flight_all(self):
        """Return the number of requests in flight in all shards."""
        with self._lock:
            return self._in_flight.total()

    def in_flight_of(self, grant, shard_count):
        """Return the number of requests in flight that a release must wait for.

        Failure: a key was pinned or unpinned while a request for it ran, which is
        counted under the other shard. Symptom: its shard is released and a second
        target serves the key while the first is still at work. So a pinned key waits
        for its requests under any shard, and a shard for those of keys that came back
        to it.
        """
        with self._lock:
            pinned = {g.key_hash for g in self._grant_by_shard.values() if g.key_hash}
            total = 0
            for (service, shard, key_hash), count in self._in_flight.items():
                if service != grant.service:
                    continue
                if grant.key_hash:
                    counts = shard == grant.shard or key_hash == grant.key_hash
                else:
                    came_back = (
                        shard >= shard_count
                        and key_hash not in pinned
                        and shard_of(key_hash, shard_count) == grant.shard
                    )
                    counts = shard == grant.shard or came_back
                total += count if counts else 0
            return total
