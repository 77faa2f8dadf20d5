"""Hands over shards in planned moves: stop, wait, send the ledger, release.

The order matters. If a shard were released before its last request ended, two targets
would work on the same key; if it were released before its ledger arrived, the next
owner would refuse bookings because it couldn't know of their first attempt.
"""

import concurrent.futures
import http.client
import threading

from tamarackhaven import _codec
from tamarackhaven._changes import ReleaseShards
from tamarackhaven._ledger import LedgerPart
from tamarackhaven._whole_response import connect
from tamarackhaven.errors import ErrorKind, TamarackhavenError

POLL_INTERVAL_S = 0.01
RELEASE_TIMEOUT_S = 2.0
LEDGER_TIMEOUT_S = 0.5
LEDGER_PATH = "/ledger"
# Maximum number of ledger parts kept until their grants arrive. One target doesn't
# receive more moves at the same time, and a dropped part only causes refused bookings.
MAX_LEDGER_PARTS = 4096
MAX_LEDGER_THREADS = 4


class Handover:
    """Watches the grants of one target and releases its moving shards.

    Parameters
    ----------
    settings : DaemonSettings
        Names the service and the target.
    daemon : Daemon
        Stops shards and counts requests in flight.
    view : View
        Provides the target's grants, with the shards that move.
    client : ControlClient
        Proposes releases.
    lease : LeaseClient
        Provides the epoch and whether the lease holds.
    log : Log
        Log of the part ``handover``.
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
        self._sent_ledgers = set()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._ledger_executor = concurrent.futures.ThreadPoolExecutor(
            MAX_LEDGER_THREADS
        )
        self._thread = threading.Thread(target=self._run, name="handover", daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def changed(self):
        """Wake the thread because the view has changed."""
        self._wake.set()

    def stop(self):
        """Stop the thread and wait for it."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()
        self._ledger_executor.shutdown(cancel_futures=True)

    def _run(self):
        while not self._stopping.is_set():
            self._wake.wait(POLL_INTERVAL_S if self._stopped_by_shard else None)
            self._wake.clear()
            try:
                self.step()
            except TamarackhavenError as error:
                self._log.say("release not confirmed", code=error.kind.value)

    def step(self):
        """Run one step for every moving shard."""
        shard_count = self._view.shard_count(self._settings.service)
        owned = self._view.owned_by(self._settings.service, self._settings.target)
        moving_by_shard = {g.shard: g for g in owned if g.moving_to}
        self._resume_cancelled(moving_by_shard)
        for shard, grant in moving_by_shard.items():
            if self._stopped_by_shard.get(shard) != grant.grant:
                self._daemon.stop_admitting(grant.service, shard)
                self._stopped_by_shard[shard] = grant.grant
        ready = [
            grant
            for grant in moving_by_shard.values()
            if self._holds_lease() and not self._daemon.in_flight_of(grant, shard_count)
        ]
        if ready:
            self._send_ledgers(ready)
            self._release(ready)

    def _holds_lease(self):
        """Return whether the lease holds, without which no shard may be released."""
        return self._lease.holds()

    def _resume_cancelled(self, moving_by_shard):
        """Resume shards whose move was cancelled before a release was sent.

        Once a release has been sent, its outcome may be unknown and another target may
        already own the shard, so only a newer grant resumes it.
        """
        for shard in [s for s in self._stopped_by_shard if s not in moving_by_shard]:
            grant = self._stopped_by_shard.pop(shard)
            if (shard, grant) not in self._releasing:
                self._daemon.resume(self._settings.service, shard)

    def _send_ledgers(self, grants):
        unsent_grants = [
            g for g in grants if (g.shard, g.grant) not in self._sent_ledgers
        ]
        futures = [
            self._ledger_executor.submit(self._send_ledger, grant)
            for grant in unsent_grants
        ]
        concurrent.futures.wait(futures, LEDGER_TIMEOUT_S)

    def _send_ledger(self, grant):
        # After the export this daemon runs no more bookings of this grant, so the shard
        # is never resumed either.
        self._releasing.add((grant.shard, grant.grant))
        self._sent_ledgers.add((grant.shard, grant.grant))
        part = self._daemon.export_ledger(grant.service, grant.shard)
        next_owner = self._view.member(grant.service, grant.moving_to)
        if part is None or next_owner is None:
            return
        peer = next_owner.peer
        connection = connect(peer.host, peer.port, LEDGER_TIMEOUT_S)
        try:
            connection.request("POST", LEDGER_PATH, encode_part(part))
            connection.getresponse().read()
        except (OSError, http.client.HTTPException) as error:
            # The next owner then refuses bookings that it can't know of, which is safe.
            self._log.say("ledger not sent to the next owner", error=repr(error))
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
            # The epoch is old: after rejoining, the target has other grants, and this
            # release no longer matters.
            self._stopping.wait(POLL_INTERVAL_S * 5)
        if len(self._releasing) > MAX_LEDGER_PARTS:
            current = set(self._stopped_by_shard.items())
            self._releasing &= current
            self._sent_ledgers &= current


class ArrivedParts:
    """Keeps ledger parts from former owners until their grants arrive."""

    def __init__(self):
        self._lock = threading.Lock()
        self._part_by_shard = {}

    def take(self, body):
        """Keep the part encoded in ``body``; return whether there was capacity for it.

        Raises
        ------
        TamarackhavenError
            MALFORMED_REQUEST if ``body`` is not a ledger part.
        """
        part = decode_part(body)
        with self._lock:
            if len(self._part_by_shard) >= MAX_LEDGER_PARTS:
                return False
            self._part_by_shard[part.service, part.shard] = part
            return True

    def pop(self, service, shard):
        """Remove and return the part of a shard, or None."""
        with self._lock:
            return self._part_by_shard.pop((service, shard), None)


def encode_part(part):
    """Encode a ``LedgerPart`` as JSON bytes."""
    return _codec.dumps(part, LedgerPart)


def decode_part(data):
    """Decode a ``LedgerPart`` from JSON bytes.

    Raises
    ------
    TamarackhavenError
        MALFORMED_REQUEST if the bytes are not a ledger part.
    """
    try:
        return _codec.loads(data, LedgerPart)
    except Exception as error:
        raise TamarackhavenError(
            ErrorKind.MALFORMED_REQUEST, "not a ledger part"
        ) from error
