"""Tracks the shards that the target owns, and the requests in flight in each."""

import threading
from collections import Counter

from tamarackhaven._keys import shard_of
from tamarackhaven.errors import ErrorKind, TamarackhavenError

RETRY_AFTER_S = 0.2


class Grants:
    """Counts requests in flight by shard, and rejects new ones for stopped shards.

    Parameters
    ----------
    ledger : Ledger
        Adopts and drops a shard's bookings together with its grant.
    clock : Clock
        Clock for the ledger.
    """

    def __init__(self, ledger, clock):
        self._ledger = ledger
        self._clock = clock
        self._lock = threading.Condition()
        self._grant_by_shard = {}
        self._stopped_by_shard = {}
        self._in_flight_by_entry = Counter()  # by service, shard and key hash

    def replace(self, grants, pop_part=None, shard_count=0):
        """Replace the owned grants by ``grants``.

        Parameters
        ----------
        grants : list of ShardGrant
            All grants that the target owns.
        pop_part : callable or None
            ``pop_part(service, shard)`` returns the ``LedgerPart`` that the former
            owner sent, or None.
        shard_count : int
            The service's number of ordinary shards; shards numbered ``shard_count``
            and above are pinned keys.
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
        """Reject new requests for ``shard``, a pair of service and shard number."""
        with self._lock:
            self._stopped_by_shard[shard] = True

    def resume(self, shard):
        """Accept requests for a stopped shard again."""
        with self._lock:
            self._stopped_by_shard.pop(shard, None)

    def enter(self, grant, key_hash):
        """Admit a request and count it as in flight.

        Raises
        ------
        TamarackhavenError
            MOVING if the shard is stopped, or if its grant has not arrived yet.
        """
        shard = (grant.service, grant.shard)
        with self._lock:
            # The check and the count share one lock: if the shard were stopped and
            # released between them, the request would run after the release.
            known = self._grant_by_shard.get(shard)
            is_owned = known is not None and known.grant == grant.grant
            if not is_owned or shard in self._stopped_by_shard:
                raise TamarackhavenError(ErrorKind.MOVING, "", RETRY_AFTER_S)
            self._in_flight_by_entry[*shard, key_hash] += 1

    def enter_shared(self, grant, key_hash):
        """Count a request of a shared service, whose keys have no owner."""
        with self._lock:
            self._in_flight_by_entry[grant.service, grant.shard, key_hash] += 1

    def leave(self, grant, key_hash):
        """Count a request as ended."""
        entry = (grant.service, grant.shard, key_hash)
        with self._lock:
            self._in_flight_by_entry[entry] -= 1
            if not self._in_flight_by_entry[entry]:
                del self._in_flight_by_entry[entry]

    def in_flight(self, shard):
        """Return the number of requests in flight for a shard."""
        with self._lock:
            return sum(
                count
                for entry, count in self._in_flight_by_entry.items()
                if entry[:2] == shard
            )

    def in_flight_all(self):
        """Return the number of requests in flight for all shards."""
        with self._lock:
            return self._in_flight_by_entry.total()

    def in_flight_of(self, grant, shard_count):
        """Return the number of requests in flight that a release must wait for.

        A key may be pinned or unpinned while a request for it runs, and that request is
        counted under the other shard. If the release didn't wait for it, a second
        target would serve the key while the first one still works on it. So the release
        of a pinned key waits for the key's requests under any shard, and that of an
        ordinary shard also for those of unpinned keys that returned to it.
        """
        with self._lock:
            pinned = {g.key_hash for g in self._grant_by_shard.values() if g.key_hash}
            total = 0
            for (service, shard, key_hash), count in self._in_flight_by_entry.items():
                if service != grant.service:
                    continue
                if grant.key_hash:
                    is_counted = shard == grant.shard or key_hash == grant.key_hash
                else:
                    is_unpinned = (
                        shard >= shard_count
                        and key_hash not in pinned
                        and shard_of(key_hash, shard_count) == grant.shard
                    )
                    is_counted = shard == grant.shard or is_unpinned
                total += count if is_counted else 0
            return total
