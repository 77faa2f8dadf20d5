"""Tells the target that nobody waits for a request any more.

``POST /cancel`` with the request id as its body, on the target's own port; a target
that doesn't know it answers as it likes. The word is a hint that frees a slot early:
what the caller is told doesn't depend on it.
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
# Load: a frozen target, where every request ends by its deadline. Harm prevented: a
# line of cancellations as long as the outage, each holding a connection. Beyond these
# few the requests run on, as they do at targets that know no cancellation.
_MOST_WAITING = 32


class Canceller:
    """Sends cancellations one after the other, beside the requests."""

    def __init__(self):
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="cancel")
        self._room = threading.BoundedSemaphore(_MOST_WAITING)

    def cancel(self, connections, request_id):
        """Send a cancellation soon, or not at all if too many wait; never blocks."""
        if not self._room.acquire(blocking=False):
            return
        try:
            self._pool.submit(self._send, connections, request_id)
        except RuntimeError:  # closed meanwhile
            self._room.release()

    def close(self):
        """Drop what waits."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _send(self, connections, request_id):
        sending = OutgoingRequest(
            # An id of its own, so that a target can't take it for the request.
            request_id=request_id + _ID_SUFFIX,
            method="POST",
            target=CANCEL_TARGET,
            headers=(),
            body=request_id.encode(),
            deadline_s=boot_s() + _TIMEOUT_S,
            max_body_bytes=_MAX_ANSWER_BYTES,
        )
        try:
            send(connections, sending, _never)
        except TamarackhavenError:
            pass  # a hint only; the request's caller has its answer already
        finally:
            self._room.release()


def _never():
    return False
