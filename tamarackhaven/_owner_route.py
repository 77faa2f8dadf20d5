"""The way of a request whose key has one owner: serve it there, or at the next one."""

import threading

from tamarackhaven._retries import doubtful
from tamarackhaven._retry import RELOCATED_KINDS, RetryRefusal
from tamarackhaven._verify import is_owner
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NO_OWNER_RETRY_S = 0.5
_WAIT_STEP_S = 0.01
# Another owner may answer after these; after all others only the same one could.
_AT_NEXT_OWNER = RELOCATED_KINDS | {ErrorKind.FORWARD_LOST, ErrorKind.CANCELLED}


class OwnerRoute:
    """Serves or forwards to the owner, and once more when the key has another.

    Parameters
    ----------
    settings : DaemonSettings
        For ``forward_wait_ms`` and ``threads``.
    view : View
        The state.
    owner : Owner
        Serves what this daemon's target owns.
    forwarder : Forwarder
        Hands on the rest.
    standing : callable
        Returns this daemon's ``Standing``.
    retries : Retries
        The budget.
    metrics : Metrics
        Gets the latency of the target that answered.
    clock : Clock
        Both clocks.
    """

    def __init__(
        self, settings, view, owner, forwarder, standing, retries, metrics, clock
    ):
        self._settings = settings
        self._view = view
        self._owner = owner
        self._forwarder = forwarder
        self._standing = standing
        self._retries = retries
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        # A key without an owner makes all its callers wait. Were every thread to
        # wait, requests for all other keys would be late too, so half of them may.
        self._most_waiting = max(1, settings.threads // 2)
        self.waiting = 0

    def answer(self, request, located, gone):
        """Return the answer of the key's owner, or of its next one."""
        attempts, error = 0, None
        while True:
            attempts += 1
            try:
                answer = self._once(request, located, gone)
            except TamarackhavenError as failure:
                error = doubtful(error, failure)
                located = self._next(request, located, failure, attempts, gone)
                if located is None:
                    raise error from failure
            else:
                if attempts == 1:
                    self._retries.succeeded()
                return answer

    def serve(self, request, located, gone):
        """Return the answer of this daemon's own target."""
        return self._timed(request, located, self._owner.serve, gone)

    def _once(self, request, located, gone):
        if located.owner is None:
            detail = f"Shard {located.grant.shard}."
            raise TamarackhavenError(ErrorKind.NO_OWNER, detail, NO_OWNER_RETRY_S)
        if is_owner(located, self._standing()):
            return self.serve(request, located, gone)
        if located.owner.target == self._settings.target and (
            located.owner.service == self._settings.service
        ):
            raise TamarackhavenError(ErrorKind.FORWARD_LOOP)
        return self._timed(request, located, self._forward, gone)

    def _forward(self, request, located, gone):
        """Forward; a lookup is given up when its key has another owner.

        Failure: the owner's daemon froze after it took the lookup. Symptom: the
        caller waits until its deadline though another target owns the key by now.
        Enough, because the view shows that owner as soon as the group has fenced the
        frozen one. A booking waits on: it may have run, and must not run elsewhere.
        """
        if request.is_booking:
            return self._forwarder.forward(request, located, gone)
        watch = _OwnerWatch(self._view, request, located, gone)
        try:
            return self._forwarder.forward(request, located, watch)
        except TamarackhavenError as error:
            if error.kind is not ErrorKind.CALLER_GONE or not watch.changed:
                raise
            detail = "The key has another owner."
            raise TamarackhavenError(ErrorKind.FORWARD_LOST, detail) from error

    def _timed(self, request, located, step, gone):
        """Run the step and record the latency under the target that answered."""
        answer = step(request, located, gone)
        seconds = self._clock.boot_s() - request.received_s
        target = located.grant.owner
        self._metrics.observe(seconds, service=request.service, target=target)
        return answer

    def _next(self, request, located, error, attempts, gone):
        """Return where to try again, or None if the caller is to hear of the error."""
        # Where lookups are lost at the target itself, its owner is the same as before;
        # to ask it again would load a target that fails.
        if error.kind not in _AT_NEXT_OWNER:
            self._retries.refuse(RetryRefusal.ONLY_OWNER)
            return None
        if not self._retries.allows(error, request, attempts):
            return None
        newer = self.wait_for_newer_grant(request, located, gone)
        if newer is None:
            self._retries.give_back()
            return None
        self._retries.started(error)
        return newer

    def wait_for_newer_grant(self, request, located, gone):
        """Wait a bounded time for another grant of the key; None if none came."""
        with self._lock:
            if self.waiting >= self._most_waiting:
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
        pause = threading.Event()
        while self._clock.boot_s() < until_s and not gone():
            newer = find_newer_grant(self._view, request, located)
            if newer is not None:
                return newer
            pause.wait(_WAIT_STEP_S)
        return None


class _OwnerWatch:
    """Says whether a forwarded lookup is to be given up, and notes why."""

    def __init__(self, view, request, located, gone):
        self._view = view
        self._request = request
        self._located = located
        self._gone = gone
        self.changed = False

    def __call__(self):
        """Return whether the caller is gone or the key has another owner."""
        if self._gone():
            return True
        newer = find_newer_grant(self._view, self._request, self._located)
        self.changed = newer is not None and (
            newer.grant.owner != self._located.grant.owner
        )
        return self.changed


def find_newer_grant(view, request, located):
    """Return where the key is by a newer grant that has an owner, or None."""
    newer = view.locate(request.service, request.key_hash)
    if newer.owner is None or newer.grant.grant <= located.grant.grant:
        return None
    return newer
