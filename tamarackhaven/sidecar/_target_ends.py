"""Finds out that the target has ended, and which requests it had then."""

import asyncio

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._open_requests import OpenRequest, OpenRequests

# No more requests than this are logged of one end.
MAX_LOGGED_REQUESTS = 64


class TargetEnds:
    """Tells the end of the target from the loss of a connection.

    Parameters
    ----------
    client : TargetClient
        Connections to the target.
    log : Log
        Log of the part ``gate``.
    metrics : Metrics
        Metrics of the process.

    Attributes
    ----------
    on_end : callable
        ``on_end(life, requests)`` is called when a life has ended, with the
        ``OpenRequest`` of each request that it had.
    """

    def __init__(self, client, log, metrics):
        self._client = client
        self._log = log
        self._metrics = metrics
        self._requests = OpenRequests()
        self._probe = None
        self._ended_life = None
        self.on_end = lambda life, requests: None

    def begin(self, number, forward):
        """Record that a ``Forward`` is sent to the target; ``number`` is unique."""
        request = OpenRequest(forward.life, forward.attempt_id, forward.digest)
        self._requests.begin(number, request)

    def close(self, number):
        """Record that the target answered a request, or wasn't sent it."""
        self._requests.close(number)

    def unanswered(self, number):
        """Record that nothing waits for the answer to a request any more."""
        self._requests.unanswered(number, boot_s())

    def unresolved(self):
        """Return the digests of the requests under which the target may yet end."""
        return {each.digest for each in self._requests.unresolved(boot_s())}

    async def has_ended(self, life):
        """Whether a life that has closed a connection without an answer has ended.

        A service that resets connections when it's full still listens. Requests that
        are lost together share one probe.
        """
        if self._probe is None:
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._client.is_listening())
        probe = self._probe
        try:
            is_listening = await asyncio.shield(probe)
        finally:
            if probe.done() and self._probe is probe:
                self._probe = None
        if is_listening:
            return False
        self.life_ended(life, "lost connection")
        return True

    def life_ended(self, life, found_by):
        """Record that a life has ended; ``found_by`` says for the log how it's known.

        A later call for the same life has an effect only if that life, which runs after
        all, was sent further requests.
        """
        requests = self._requests.take(life, boot_s())
        if not life or (life == self._ended_life and not requests):
            return
        self._ended_life = life
        self._metrics.count("tamarackhaven_target_ends_total")
        self._log.say(
            "target ended",
            life=life,
            found_by=found_by,
            requests=[
                [each.attempt_id, each.digest.hex()]
                for each in requests[:MAX_LOGGED_REQUESTS]
            ],
        )
        self.on_end(life, requests)
