"""Tells the leader a few times a minute what a daemon's gate sees."""

import threading

from tamarackhaven._events import LoadReport
from tamarackhaven.errors import TamarackhavenError

# 2 KB a second is all that control may cost a daemon; a report is some hundred bytes.
REPORT_EVERY_S = 5.0
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
        self._thread = threading.Thread(target=self._run, name="reports", daemon=True)

    def start(self):
        """Start the thread."""
        self._thread.start()

    def _run(self):
        while not self._stopping.wait(REPORT_EVERY_S):
            epoch = self._lease.epoch()
            if epoch:
                self._send(epoch)

    def _send(self, epoch):
        load = self._daemon.load(HOT_KEYS_REPORTED)
        report = LoadReport(
            service=self._settings.service,
            target=self._settings.target,
            epoch=epoch,
            requests_per_s=load.admitted / REPORT_EVERY_S,
            limit=load.limit,
            cold=load.cold,
            hot_keys=load.hot_keys,
        )
        try:
            self._client.report(report, REPORT_TIMEOUT_S)
        except TamarackhavenError:
            # Reports age at the leader; the next one comes in a few seconds.
            return

    def stop(self):
        """Stop the thread."""
        self._stopping.set()
        self._thread.join()
