"""Cancels requests at the target that no caller waits for any more.

It sends ``POST /cancel`` with the request id as its body to the target's port. The
answer is ignored, since targets needn't support cancellation: it is a hint that frees a
slot early, and the caller's answer doesn't depend on it.
"""

import threading
from concurrent.futures import ThreadPoolExecutor

from tamarackhaven._clock import boot_s
from tamarackhaven._send import OutgoingRequest, send
from tamarackhaven.errors import TamarackhavenError

CANCEL_TARGET = "/cancel"
_ID_SUFFIX = ".cancel"
_TIMEOUT_S = 0.5
_MAX_ANSWER_BYTES = 4096
# At a frozen target every request reaches its deadline. Without this limit, the backlog
# of cancellations would grow throughout the outage, and each takes a connection.
# Requests whose cancellation is dropped run on, as at targets that don't support it.
_MAX_PENDING = 32


class Canceller:
    """Sends cancellations in a background thread, one at a time."""

    def __init__(self):
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="cancel")
        self._pending_slots = threading.BoundedSemaphore(_MAX_PENDING)

    def cancel(self, connections, request_id):
        """Queue a cancellation, or drop it if too many are pending; never blocks."""
        if not self._pending_slots.acquire(blocking=False):
            return
        try:
            self._pool.submit(self._send, connections, request_id)
        except RuntimeError:  # the pool was shut down meanwhile
            self._pending_slots.release()

    def close(self):
        """Drop all pending cancellations."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _send(self, connections, request_id):
        outgoing = OutgoingRequest(
            # A distinct id, so that a target can't confuse it with the request.
            request_id=request_id + _ID_SUFFIX,
            method="POST",
            target=CANCEL_TARGET,
            headers=(),
            body=request_id.encode(),
            deadline_s=boot_s() + _TIMEOUT_S,
            max_body_bytes=_MAX_ANSWER_BYTES,
        )
        try:
            send(connections, outgoing, _never)
        except TamarackhavenError:
            pass  # only a hint; the caller already has its answer
        finally:
            self._pending_slots.release()


def _never():
    return False
