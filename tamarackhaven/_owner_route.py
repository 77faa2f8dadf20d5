"""Routes requests of exclusive services to the owner of their key."""

import threading

from tamarackhaven._retries import least_certain_error
from tamarackhaven._retry import RELOCATED_KINDS, RetryRefusal
from tamarackhaven._verify import is_owner
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_OWNER_RETRY_AFTER_S = 0.5
_POLL_INTERVAL_S = 0.01
# Errors after which the key may have a new owner.
_NEXT_OWNER_KINDS = RELOCATED_KINDS | {ErrorKind.FORWARD_LOST, ErrorKind.CANCELLED}


class OwnerRoute:
    """Serves or forwards a request, and retries it when its key has a new owner.

    Parameters
    ----------
    settings : DaemonSettings
        Gives ``forward_wait_ms``, ``threads`` and this daemon's target.
    view : View
        The shared state as this daemon knows it.
    owner : Owner
        Serves keys that this daemon's target owns.
    forwarder : Forwarder
        Forwards requests for all other keys.
    status : callable
        Returns this daemon's ``DaemonStatus``.
    retries : Retries
        The retry budget of exclusive services.
    metrics : Metrics
        Records latencies by target.
    clock : Clock
        Measures latencies and bounds the wait for a new grant.
    """

    def __init__(
        self, settings, view, owner, forwarder, status, retries, metrics, clock
    ):
        self._settings = settings
        self._view = view
        self._owner = owner
        self._forwarder = forwarder
        self._status = status
        self._retries = retries
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        # All callers of a key without an owner wait for a grant. If every thread did,
        # requests for all other keys would be delayed too, so at most half may wait.
        self._max_waiting = max(1, settings.threads // 2)
        # Number of requests that wait for a newer grant.
        self.waiting = 0

    def answer(self, request, located, gone):
        """Return the answer of the key's owner, or of the next one after a failure."""
        attempts, error = 0, None
        while True:
            attempts += 1
            try:
                answer = self._try_once(request, located, gone)
            except TamarackhavenError as failure:
                error = least_certain_error(error, failure)
                located = self._find_next_owner(
                    request, located, failure, attempts, gone
                )
                if located is None:
                    raise error from failure
            else:
                if attempts == 1:
                    self._retries.succeeded()
                return answer

    def serve(self, request, located, gone):
        """Return the answer of this daemon's own target."""
        return self._run_timed(request, located, self._owner.serve, gone)

    def _try_once(self, request, located, gone):
        if located.owner is None:
            detail = f"Shard {located.grant.shard} has no owner."
            raise TamarackhavenError(ErrorKind.NO_OWNER, detail, NO_OWNER_RETRY_AFTER_S)
        if is_owner(located, self._status()):
            return self.serve(request, located, gone)
        if located.owner.target == self._settings.target and (
            located.owner.service == self._settings.service
        ):
            raise TamarackhavenError(ErrorKind.FORWARD_LOOP)
        return self._run_timed(request, located, self._forward, gone)

    def _forward(self, request, located, gone):
        """Forward a request; abandon a lookup when its key has another owner.

        If the owner's daemon freezes after it received a lookup, the caller would wait
        until its deadline although another target owns the key. Watching the view is
        sufficient, because it shows the new owner as soon as the control group has
        fenced the frozen one. The forwarder reports a request stopped by the watch as
        CALLER_GONE, as if the caller had disconnected. A booking isn't abandoned: it
        may have run and must not run elsewhere.
        """
        if request.is_booking:
            return self._forwarder.forward(request, located, gone)
        watch = _OwnerWatch(self._view, request, located, gone)
        try:
            return self._forwarder.forward(request, located, watch)
        except TamarackhavenError as error:
            if error.kind is not ErrorKind.CALLER_GONE or not watch.has_new_owner:
                raise
            detail = "The key has another owner."
            raise TamarackhavenError(ErrorKind.FORWARD_LOST, detail) from error

    def _run_timed(self, request, located, step, gone):
        """Call ``step``; record the time since the request was received, by target."""
        answer = step(request, located, gone)
        seconds = self._clock.boot_s() - request.received_s
        target = located.grant.owner
        self._metrics.observe(seconds, service=request.service, target=target)
        return answer

    def _find_next_owner(self, request, located, error, attempts, gone):
        """Return where to try again, or None if the caller gets the error."""
        # When the target itself loses a request, the key still has the same owner;
        # trying it again would add load to a failing target.
        if error.kind not in _NEXT_OWNER_KINDS:
            self._retries.count_refusal(RetryRefusal.ONLY_OWNER)
            return None
        if not self._retries.allows(error, request, attempts):
            return None
        newer = self.wait_for_newer_grant(request, located, gone)
        if newer is None:
            self._retries.refund()
            return None
        self._retries.started(error)
        return newer

    def wait_for_newer_grant(self, request, located, gone):
        """Wait a limited time for a newer grant of the key; return None without one."""
        with self._lock:
            if self.waiting >= self._max_waiting:
                return None
            self.waiting += 1
        try:
            return self._poll_for_newer_grant(request, located, gone)
        finally:
            with self._lock:
                self.waiting -= 1

    def _poll_for_newer_grant(self, request, located, gone):
        wait_s = self._settings.forward_wait_ms / 1000
        until_s = min(self._clock.boot_s() + wait_s, request.deadline_s)
        # Never set; its wait is a sleep.
        pause = threading.Event()
        while self._clock.boot_s() < until_s and not gone():
            newer = find_newer_grant(self._view, request, located)
            if newer is not None:
                return newer
            pause.wait(_POLL_INTERVAL_S)
        return None


class _OwnerWatch:
    """Stops a forwarded lookup when its key changes owner; records whether it did."""

    def __init__(self, view, request, located, gone):
        self._view = view
        self._request = request
        self._located = located
        self._gone = gone
        self.has_new_owner = False

    def __call__(self):
        """Return whether the caller is gone or the key has another owner."""
        if self._gone():
            return True
        newer = find_newer_grant(self._view, self._request, self._located)
        self.has_new_owner = newer is not None and (
            newer.grant.owner != self._located.grant.owner
        )
        return self.has_new_owner


def find_newer_grant(view, request, located):
    """Return the key's location by a newer grant with an owner, or None."""
    newer = view.locate(request.service, request.key_hash)
    if newer.owner is None or newer.grant.grant <= located.grant.grant:
        return None
    return newer
