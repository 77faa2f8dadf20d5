"""Asks the target whether it's cold, before it has got more than a cold one bears."""

import asyncio

from tamarackhaven._clock import boot_s

# A target that didn't reply to a check is asked again after this time.
RETRY_INTERVAL_S = 0.1


class ColdChecks:
    """Makes the checks that ``ColdStarts`` says are due, one at a time.

    Parameters
    ----------
    starts : ColdStarts
        Of the target's gate.
    state : TargetState
        Of the target.
    health_checks : HealthChecks
        Of the target.
    log : Log
        Of the part ``gate``.
    on_checked : callable
        Called after each reply, when more requests may start, or fewer.

    Attributes
    ----------
    on_cold : callable
        Called when the target has said that it's cold.
    """

    def __init__(self, starts, state, health_checks, log, on_checked):
        self._starts = starts
        self._state = state
        self._health_checks = health_checks
        self._log = log
        self._on_checked = on_checked
        self._task = None
        self.on_cold = lambda: None

    def start_if_due(self):
        """Begin to ask the target if a check is due and none is under way."""
        if self._task is None and self._starts.is_check_due(boot_s()):
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._check())

    async def _check(self):
        try:
            while self._starts.is_check_due(boot_s()):
                life = self._state.life
                checked = await self._health_checks.ask()
                if checked is None or not self._state.is_named(life, checked):
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                self._apply(checked)
        finally:
            self._task = None

    def _apply(self, checked):
        if checked.health.cold_s:
            self._record_cold(checked)
        else:
            self._starts.confirm_warm(checked.asked_s)
        self._on_checked()

    def _record_cold(self, checked):
        now = boot_s()
        self._state.record_cold(now + checked.health.cold_s)
        self._log.say(
            "target is cold",
            life=self._state.life,
            cold_s=checked.health.cold_s,
            check_age_s=round(now - checked.asked_s, 3),
            unchecked_starts=self._starts.unchecked(now),
        )
        self.on_cold()

    def close(self):
        """Stop asking."""
        if self._task is not None:
            self._task.cancel()
