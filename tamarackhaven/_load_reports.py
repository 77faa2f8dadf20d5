"""Tells the leader a few times a minute what a daemon's gate sees."""

import contextlib
import threading

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven._events import LoadReport
from tamarackhaven.errors import TamarackhavenError

# Load: a report takes some 600 bytes with TCP's headers and acknowledgements, and 53
# more for each hot key. Harm: with 22 of them every 5 s it alone would take 350 of the
# 2,000 bytes a second that control may cost a daemon. Limit: with a pause for each hot
# key it stays under 170 at any number of them.
REPORT_EVERY_S = 5.0
PAUSE_FOR_KEY_S = 0.25
# More digits would tell the leader nothing, and cost bytes.
SHARE_DIGITS = 4
RATE_DIGITS = 1
REPORT_TIMEOUT_S = 2.0
HOT_KEYS_REPORTED = 22


class LoadReports:
    """Sends a ``LoadReport`` every few seconds while the target is a member."""

    def __init__(self, settings, daemon, client, lease):
        self._settings = settings
        self._daemon = daemon
        self._client = client
        self._lease = lease
        self._stopping = threading.Event()
        self._counted_at = boot_s()
        self._thread = threading.Thread(target=self._run, name="reports", daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def _run(self):
        keys = 0
        while not self._stopping.wait(REPORT_EVERY_S + PAUSE_FOR_KEY_S * keys):
            epoch = self._lease.epoch()
            keys = self._send(epoch) if epoch else 0

    def _send(self, epoch):
        """Send a report; return the number of its hot keys."""
        load = self._daemon.seen_load.take(HOT_KEYS_REPORTED)
        limit, is_cold = self._daemon.gate_state()
        now = boot_s()
        took_s, self._counted_at = now - self._counted_at, now
        report = LoadReport(
            service=self._settings.service,
            target=self._settings.target,
            epoch=epoch,
            requests_per_s=round(load.admitted / took_s, RATE_DIGITS),
            limit=limit,
            cold=is_cold,
            hot_keys=[_rounded(hot) for hot in load.hot_keys],
        )
        # One that failed is not sent again: reports age at the leader, and the next
        # one comes in a few seconds.
        with contextlib.suppress(TamarackhavenError):
            self._client.report(report, REPORT_TIMEOUT_S)
        return len(report.hot_keys)

    def stop(self):
        """Stop the thread."""
        self._stopping.set()
        self._thread.join()


def _rounded(hot):
    return attrs.evolve(hot, share=round(hot.share, SHARE_DIGITS))
