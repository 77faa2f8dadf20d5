"""Decides which heartbeats are of the running life of a target, and newer. Pure.

Heartbeats come late, and other writers send them in a target's name. If each one that
looked newer were taken, a single one with an order number or a start that is far ahead
would make all later ones of the target look old, and its keys would be lost to it. So
one heartbeat alone neither ends a life, nor skips far ahead; and those that look old
are taken if they go on while no newer ones come.

The end of a life is believed without a wait if something else than the heartbeat shows
it: the target names itself otherwise when it's asked, or has broken off its
connections. Otherwise a target whose own heartbeat is late would lose its keys to
others while it still holds them.
"""

import enum

import attrs

# A target sends at most this many heartbeats a second, also while it releases keys.
MAX_HEARTBEATS_PER_S = 20
# Heartbeats that may be lost one after the other at any time.
MAX_SKIPPED = 100
# Some targets count in larger steps; the next step may be larger by this factor.
MAX_STEP_GROWTH = 10
# Heartbeats that look old are delayed ones, unless so many come in order, over so many
# intervals, and no newer one does.
MIN_RUN_LENGTH = 3
MIN_RUN_INTERVALS = 2
# Those of a later life, if nothing else shows that the known one has ended.
MIN_LATER_LIFE_LENGTH = 2
MIN_LATER_LIFE_INTERVALS = 0.5


class Order(enum.Enum):
    """What a heartbeat is, compared with those before it."""

    NEWER = "newer"
    # Of a life that was started later.
    LATER_LIFE = "later life"
    # Its number is far ahead of the last one.
    AHEAD = "ahead"
    # Of an earlier life, or with a lower number.
    OLD = "old"


@attrs.frozen
class _Received:
    """A heartbeat, and when it was received, in seconds of the boot clock."""

    heartbeat: object
    at_s: float

    @property
    def life(self):
        """Name and start of the life."""
        return self.heartbeat.name, self.heartbeat.born_ms


@attrs.frozen
class _Run:
    """Heartbeats of one life that weren't accepted, each with a higher number."""

    first: _Received
    last: _Received
    length: int = 1

    def is_continued_by(self, received):
        """Whether a heartbeat is the next one of the run."""
        return (
            received.life == self.last.life
            and received.heartbeat.sequence > self.last.heartbeat.sequence
        )

    def continued(self, received):
        """Return the run with one more heartbeat."""
        return _Run(self.first, received, self.length + 1)

    @property
    def step(self):
        """Mean difference of the numbers of two heartbeats, 0 for a single one."""
        difference = self.last.heartbeat.sequence - self.first.heartbeat.sequence
        return difference // max(self.length - 1, 1)


class HeartbeatOrder:
    """The order of the heartbeats that a daemon receives for its target.

    Parameters
    ----------
    heartbeat_s : float
        Interval of heartbeats, in seconds.
    """

    def __init__(self, heartbeat_s):
        self._heartbeat_s = heartbeat_s
        self._last = None
        self._step = 0
        self._run = None
        self._may_have_ended = False

    def forget(self):
        """Take the next heartbeat, whatever it is: the life before it has ended."""
        self._last = None
        self._run = None

    def suspect_end(self):
        """Record that the known life seems to have ended."""
        self._may_have_ended = True

    def accepts(self, heartbeat, now, named=None):
        """Whether a heartbeat is to be taken.

        Parameters
        ----------
        heartbeat : Heartbeat
            As received.
        now : float
            Seconds of the boot clock.
        named : str or None
            Name that the target gave when it was asked after that, None if it gave
            none. A later life may have the same name.
        """
        received = _Received(heartbeat, now)
        is_other = self._last is None or heartbeat.name != self._last.heartbeat.name
        if is_other and named is not None:
            return named == heartbeat.name and self._accept(received)
        if self._last is None:
            return self._accept(received)
        order = self.compare(heartbeat, now)
        if order is Order.NEWER:
            self._step = heartbeat.sequence - self._last.heartbeat.sequence
            return self._accept(received)
        self._add_to_run(received)
        if not self._is_believed(order, now):
            return False
        self._step = self._run.step
        return self._accept(received)

    def compare(self, heartbeat, now):
        """Return the ``Order`` of a heartbeat after the last one that was taken."""
        last = self._last
        if last is None:
            return Order.NEWER
        if (heartbeat.name, heartbeat.born_ms) != last.life:
            is_later = heartbeat.born_ms > last.heartbeat.born_ms
            return Order.LATER_LIFE if is_later else Order.OLD
        step = heartbeat.sequence - last.heartbeat.sequence
        if step <= 0:
            return Order.OLD
        max_step = MAX_SKIPPED + MAX_HEARTBEATS_PER_S * (now - last.at_s)
        max_step = max(max_step, MAX_STEP_GROWTH * self._step)
        return Order.NEWER if step <= max_step else Order.AHEAD

    def _accept(self, received):
        self._last = received
        self._run = None
        self._may_have_ended = False
        return True

    def _is_due(self, now):
        """Whether the known life should have sent another heartbeat by now."""
        return now - self._last.at_s >= self._heartbeat_s

    def _add_to_run(self, received):
        if self._run is not None and self._run.is_continued_by(received):
            self._run = self._run.continued(received)
        else:
            self._run = _Run(received, received)

    def _is_believed(self, order, now):
        """Whether the run says more than the last heartbeat that was taken.

        No newer one has come since it began, as that would have ended it.
        """
        if order is Order.LATER_LIFE and self._may_have_ended:
            return True
        if not self._is_due(now):
            return False
        if order is Order.LATER_LIFE:
            return self._has_run(MIN_LATER_LIFE_LENGTH, MIN_LATER_LIFE_INTERVALS, now)
        if order is Order.AHEAD:
            return self._run.length > 1
        return self._has_run(MIN_RUN_LENGTH, MIN_RUN_INTERVALS, now)

    def _has_run(self, min_length, min_intervals, now):
        """Whether the run has so many heartbeats, over so many intervals."""
        run_s = now - self._run.first.at_s
        return (
            self._run.length >= min_length
            and run_s >= min_intervals * self._heartbeat_s
        )
