"""Asks the target beside the daemon which life it is, and whether it's cold."""

import asyncio
import itertools
import os

import attrs

from tamarackhaven._clock import boot_s
from tamarackhaven.sidecar._dialect import TargetHealth
from tamarackhaven.sidecar._target_client import SendEnd

# The target is on the same VM. One that takes longer to reply is full, and the check
# waits for a slot.
CHECK_TIMEOUT_S = 0.3


@attrs.frozen
class CheckedHealth:
    """What a target said of itself, and when it was asked.

    Parameters
    ----------
    health : TargetHealth
        From its reply.
    asked_s : float
        When the check was sent, in seconds of the boot clock.
    """

    health: TargetHealth
    asked_s: float


class HealthChecks:
    """Sends health checks to the target, one at a time.

    Parameters
    ----------
    client : TargetClient
        Connections to the target.
    dialect : Dialect
        Writes checks and reads the replies.
    path : callable
        Returns the path of the target's health check, None if it isn't known.
    metrics : Metrics
        Of the process.
    """

    def __init__(self, client, dialect, path, metrics):
        self._client = client
        self._dialect = dialect
        self._path = path
        self._metrics = metrics
        # A copy of a reply to a former process of the daemon isn't taken for a reply.
        self._boot = os.urandom(8).hex()
        self._numbers = itertools.count()
        self._check = None

    async def ask(self):
        """Return the ``CheckedHealth``, None if the target doesn't name itself in time.

        Those who ask while a check is in flight share its reply.
        """
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.create_task(self._ask())
        check = self._check
        try:
            return await asyncio.shield(check)
        finally:
            if check.done() and self._check is check:
                self._check = None

    async def _ask(self):
        path = self._path()
        if path is None:
            return self._count("unknown path")
        check_id = f"check-{self._boot}-{next(self._numbers)}"
        call = self._dialect.health_call(path, check_id)
        request = call.method, call.target, call.headers, call.body, check_id
        asked_s = boot_s()
        try:
            sent = await asyncio.wait_for(
                self._client.send(*request, self._dialect.read_attempt_id),
                CHECK_TIMEOUT_S,
            )
        except TimeoutError:
            return self._count("timeout")
        if sent.end is not SendEnd.REPLIED:
            return self._count(sent.end.value)
        health = self._dialect.read_health(sent.reply)
        if not health.name:
            return self._count("no name")
        self._count("cold" if health.cold_s else "warm")
        return CheckedHealth(health, asked_s)

    def _count(self, outcome):
        self._metrics.count("tamarackhaven_health_checks_total", outcome=outcome)
