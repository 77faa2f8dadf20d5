"""To which targets of a shared service one request is offered, in what order. Pure.

Load: targets nearly full, and more daemons than each of them hears of. What a daemon
knows of a target's load is seconds old, so nearly every target looks alike. Harm: a
request queues behind long ones at one target while others have a free slot; a call
that takes 55 ms then takes 150, and the work that waits for it holds a slot of its
own for as long. So a request waits at its first target only if there is no other;
else some more are asked for their wait, and it goes where that is shortest.
"""

import attrs

# A question and its answer are some hundred bytes and take some milliseconds. With
# seven in ten targets full, three questions find a free one in two of three cases; a
# fourth adds less than a tenth.
MOST_ASKED = 3


@attrs.frozen
class Send:
    """Send the request to ``target``; ``waits`` if it may wait there."""

    target: object
    waits: bool


@attrs.frozen
class Ask:
    """Ask ``targets`` how long the request would wait there."""

    targets: tuple


@attrs.define
class Offers:
    """The offers of one request.

    Parameters
    ----------
    chooser : Chooser
        Orders the targets.
    route : str
        Of the request.
    body_bytes : int
        Size of its body.
    """

    _chooser: object
    _route: str
    _body_bytes: int = 0
    _closed: set = attrs.field(init=False, factory=set)
    _wait_s_by_life: dict = attrs.field(init=False, factory=dict)
    _has_asked: bool = attrs.field(init=False, default=False)

    @property
    def has_closed(self):
        """Whether any target has been tried."""
        return bool(self._closed)

    def next(self, targets, now):
        """Return ``Send``, ``Ask``, or None if no target is left.

        Parameters
        ----------
        targets : sequence of Target
            Those that take new requests.
        now : float
            Seconds of the boot clock.
        """
        open_ = [each for each in targets if each.life not in self._closed]
        if not open_:
            return None
        if not self._wait_s_by_life:
            target = self._pick(open_, now)
            is_only = len(open_) == 1 or self._has_asked
            return Send(target, waits=is_only)
        if not self._has_asked:
            self._has_asked = True
            others = self._others(open_, now)
            if others:
                return Ask(others)
        known = [each for each in open_ if each.life in self._wait_s_by_life]
        if known:
            return Send(min(known, key=self._wait_s), waits=True)
        return Send(self._pick(open_, now), waits=True)

    def _others(self, targets, now):
        """Return the best targets of which no wait is known."""
        left = [each for each in targets if each.life not in self._wait_s_by_life]
        others = []
        while left and len(others) < MOST_ASKED:
            others.append(self._pick(left, now))
            left.remove(others[-1])
        return tuple(others)

    def _pick(self, targets, now):
        body_bytes = self._body_bytes
        return self._chooser.pick(targets, self._route, now, body_bytes=body_bytes)

    def _wait_s(self, target):
        crossing_s = self._chooser.crossing_ms(target, self._body_bytes) / 1000
        return self._wait_s_by_life[target.life] + crossing_s

    def busy(self, target, wait_s):
        """Note the wait that a target told, in seconds."""
        self._wait_s_by_life[target.life] = wait_s

    def close(self, target):
        """Note that a target needs not be tried again."""
        self._closed.add(target.life)
        self._wait_s_by_life.pop(target.life, None)
