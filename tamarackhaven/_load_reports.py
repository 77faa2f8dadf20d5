"""Reports the load at a daemon's gate to the leader a few times a minute."""

import contextlib
import threading

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven._events import LoadReport
from tamarackhaven.errors import TamarackhavenError

# A report takes some 600 bytes with TCP's headers and acknowledgements, and 53 more for
# each hot key. With 22 hot keys every 5 s, reports alone would take 350 of the 2,000
# bytes a second that a daemon may spend on control traffic. With an additional pause
# for each hot key they stay under 170 bytes a second for any number of hot keys.
REPORT_INTERVAL_S = 5.0
PAUSE_PER_HOT_KEY_S = 0.25
# More digits would take bytes without use to the leader.
SHARE_DECIMALS = 4
RATE_DECIMALS = 1
REPORT_TIMEOUT_S = 2.0
MAX_HOT_KEYS = 22


class LoadReports:
    """Sends a ``LoadReport`` every few seconds while the target has an epoch."""

    def __init__(self, settings, daemon, client, lease):
        self._settings = settings
        self._daemon = daemon
        self._client = client
        self._lease = lease
        self._stopping = threading.Event()
        self._counted_at_s = boot_s()
        self._thread = threading.Thread(target=self._run, name="reports", daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def _run(self):
        keys = 0
        while not self._stopping.wait(REPORT_INTERVAL_S + PAUSE_PER_HOT_KEY_S * keys):
            epoch = self._lease.epoch()
            keys = self._send(epoch) if epoch else 0

    def _send(self, epoch):
        """Send a report and return the number of its hot keys."""
        load = self._daemon.seen_load.take(MAX_HOT_KEYS)
        limit, is_cold = self._daemon.gate_state()
        now = boot_s()
        elapsed_s, self._counted_at_s = now - self._counted_at_s, now
        report = LoadReport(
            service=self._settings.service,
            target=self._settings.target,
            epoch=epoch,
            requests_per_s=round(load.admitted / elapsed_s, RATE_DECIMALS),
            limit=limit,
            cold=is_cold,
            hot_keys=[_round_share(hot) for hot in load.hot_keys],
        )
        # A failed report isn't sent again: reports lose weight with age at the leader,
        # and the next one follows in a few seconds.
        with contextlib.suppress(TamarackhavenError):
            self._client.report(report, REPORT_TIMEOUT_S)
        return len(report.hot_keys)

    def stop(self):
        """Stop the thread and wait for it."""
        self._stopping.set()
        self._thread.join()


def _round_share(hot):
    return attrs.evolve(hot, share=round(hot.share, SHARE_DECIMALS))
