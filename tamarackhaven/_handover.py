"""Hands shards over in planned moves: stop, wait, pass the ledger on, release.

The order is the safeguard. Released before the last request ended, the key would have
two targets at work; released before the ledger arrived, the next owner would refuse
bookings whose first try it can't know.
"""

import concurrent.futures
import http.client
import threading

from tamarackhaven import _codec
from tamarackhaven._changes import ReleaseShards
from tamarackhaven._ledger import LedgerPart
from tamarackhaven.errors import ErrorKind, TamarackhavenError

POLL_S = 0.01
RELEASE_TIMEOUT_S = 2.0
LEDGER_TIMEOUT_S = 0.5
LEDGER_PATH = "/ledger"
# Parts that arrived and whose grant has not; more than this many moves at once to
# one target don't happen, and a part that is dropped only makes bookings refused.
PARTS_KEPT = 4096
LEDGER_THREADS = 4


class Handover:
    """Watches the grants of one target and releases those that move.

    Parameters
    ----------
    settings : DaemonSettings
        Names the target.
    daemon : Daemon
        Stops shards and counts what is in flight.
    view : View
        Says which shards move.
    client : ControlClient
        Takes releases.
    lease : LeaseClient
        Says what epoch it is for, and whether it holds.
    log : Log
        Of the part ``handover``.
    """

    def __init__(self, settings, daemon, view, client, lease, log):
        self._settings = settings
        self._daemon = daemon
        self._view = view
        self._client = client
        self._lease = lease
        self._log = log
        self._stopped_by_shard = {}
        self._releasing = set()
        self._passed_on = set()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._senders = concurrent.futures.ThreadPoolExecutor(LEDGER_THREADS)
        self._thread = threading.Thread(target=self._run, name="handover", daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def changed(self):
        """The view has changed."""
        self._wake.set()

    def stop(self):
        """Stop the thread."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()
        self._senders.shutdown(cancel_futures=True)

    def _run(self):
        while not self._stopping.is_set():
            self._wake.wait(POLL_S if self._stopped_by_shard else None)
            self._wake.clear()
            try:
                self.step()
            except TamarackhavenError as error:
                self._log.say("release not confirmed", code=error.kind.value)

    def step(self):
        """Take one step for every shard on the move."""
        shard_count = self._view.shard_count(self._settings.service)
        owned = self._view.owned_by(self._settings.service, self._settings.target)
        moving_by_shard = {g.shard: g for g in owned if g.moving_to}
        self._resume_others(moving_by_shard)
        for shard, grant in moving_by_shard.items():
            if self._stopped_by_shard.get(shard) != grant.grant:
                self._daemon.stop_admitting(grant.service, shard)
                self._stopped_by_shard[shard] = grant.grant
        ready = [
            grant
            for grant in moving_by_shard.values()
            if self._holds() and not self._daemon.in_flight_of(grant, shard_count)
        ]
        if ready:
            self._pass_ledgers_on(ready)
            self._release(ready)

    def _holds(self):
        """Whether the lease holds; only who holds it may give a shard away."""
        return self._lease.holds()

    def _resume_others(self, moving_by_shard):
        """Take work again for moves that were taken back before a release was sent.

        After a release was sent its outcome may be unknown, and another target may
        own the shard already; only a newer grant opens it then.
        """
        for shard in [s for s in self._stopped_by_shard if s not in moving_by_shard]:
            grant = self._stopped_by_shard.pop(shard)
            if (shard, grant) not in self._releasing:
                self._daemon.resume(self._settings.service, shard)

    def _pass_ledgers_on(self, grants):
        new = [g for g in grants if (g.shard, g.grant) not in self._passed_on]
        futures = [self._senders.submit(self._pass_ledger_on, grant) for grant in new]
        concurrent.futures.wait(futures, LEDGER_TIMEOUT_S)

    def _pass_ledger_on(self, grant):
        # Once exported, this daemon runs no booking of this grant any more; so it is
        # never resumed either.
        self._releasing.add((grant.shard, grant.grant))
        self._passed_on.add((grant.shard, grant.grant))
        part = self._daemon.export_ledger(grant.service, grant.shard)
        next_owner = self._view.member(grant.service, grant.moving_to)
        if part is None or next_owner is None:
            return
        peer = next_owner.peer
        connection = http.client.HTTPConnection(
            peer.host, peer.port, timeout=LEDGER_TIMEOUT_S
        )
        try:
            connection.request("POST", LEDGER_PATH, encode_part(part))
            connection.getresponse().read()
        except (OSError, http.client.HTTPException) as error:
            # The next owner then refuses bookings it can't know: safe, if unfriendly.
            self._log.say("ledger not passed on", error=repr(error))
        finally:
            connection.close()

    def _release(self, grants):
        for grant in grants:
            self._releasing.add((grant.shard, grant.grant))
        service, target = self._settings.service, self._settings.target
        change = ReleaseShards(service, target, self._lease.epoch(), grants)
        outcome = self._client.change(change, RELEASE_TIMEOUT_S)
        if outcome.code:
            self._log.say("release refused", code=outcome.code)
            # An old epoch: the rejoin brings other grants, and this is moot.
            self._stopping.wait(POLL_S * 5)
        if len(self._releasing) > PARTS_KEPT:
            current = set(self._stopped_by_shard.items())
            self._releasing &= current
            self._passed_on &= current


class ArrivedParts:
    """Ledger parts from former owners, until the grant they are for arrives."""

    def __init__(self):
        self._lock = threading.Lock()
        self._part_by_shard = {}

    def take(self, body):
        """Keep the part in ``body``; return whether it was taken."""
        part = decode_part(body)
        with self._lock:
            if len(self._part_by_shard) >= PARTS_KEPT:
                return False
            self._part_by_shard[part.service, part.shard] = part
            return True

    def pop(self, service, shard):
        """Return and forget the part of a shard, or None."""
        with self._lock:
            return self._part_by_shard.pop((service, shard), None)


def encode_part(part):
    """Return a ``LedgerPart`` as JSON bytes."""
    return _codec.dumps(part, LedgerPart)


def decode_part(data):
    """Return the ``LedgerPart`` in JSON bytes.

    Raises
    ------
    TamarackhavenError
        BAD_HEADER if it is none.
    """
    try:
        return _codec.loads(data, LedgerPart)
    except Exception as error:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, "not a ledger part"
        ) from error
