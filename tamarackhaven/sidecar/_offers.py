"""Decides to which targets of a shared service one request is offered. Pure.

With targets nearly full and many daemons, a daemon's load reports are seconds old, so
nearly every target looks alike. A request would queue behind long ones at one target
while others have a free slot; a call that takes 55 ms would take 150 ms, and the work
that waits for it would hold a slot of its own for as long. So a request waits at its
first target only if there is no other. Otherwise, a few more targets are asked for
their expected wait, and the request goes where that is shortest.
"""

import attrs

# A query and its reply are a few hundred bytes and take a few milliseconds. With seven
# in ten targets full, three queries find a free one in two of three cases; a fourth
# adds less than a tenth.
MAX_WAIT_QUERIES = 3


@attrs.frozen
class Send:
    """Send the request to ``target``; ``waits`` if it may be queued there."""

    target: object
    waits: bool


@attrs.frozen
class Ask:
    """Ask ``targets`` how long the request would wait there."""

    targets: tuple


@attrs.define
class Offers:
    """Chooses the next target for one request, from the replies of those before.

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
    _closed_lives: set = attrs.field(init=False, factory=set)
    _wait_s_by_life: dict = attrs.field(init=False, factory=dict)
    _has_queried: bool = attrs.field(init=False, default=False)

    @property
    def has_closed(self):
        """Whether any target was closed by ``close``."""
        return bool(self._closed_lives)

    def next(self, targets, now):
        """Return ``Send``, ``Ask``, or None if no target is left.

        Parameters
        ----------
        targets : sequence of Target
            Those that accept new requests.
        now : float
            Seconds of the boot clock.
        """
        candidates = [each for each in targets if each.life not in self._closed_lives]
        if not candidates:
            return None
        if not self._wait_s_by_life:
            target = self._pick(candidates, now)
            is_only = len(candidates) == 1 or self._has_queried
            return Send(target, waits=is_only)
        if not self._has_queried:
            self._has_queried = True
            queried = self._targets_to_query(candidates, now)
            if queried:
                return Ask(queried)
        answered = [each for each in candidates if each.life in self._wait_s_by_life]
        if answered:
            return Send(min(answered, key=self._wait_s), waits=True)
        return Send(self._pick(candidates, now), waits=True)

    def _targets_to_query(self, targets, now):
        """Return the best targets whose wait isn't known."""
        unqueried = [each for each in targets if each.life not in self._wait_s_by_life]
        queried = []
        while unqueried and len(queried) < MAX_WAIT_QUERIES:
            queried.append(self._pick(unqueried, now))
            unqueried.remove(queried[-1])
        return tuple(queried)

    def _pick(self, targets, now):
        body_bytes = self._body_bytes
        return self._chooser.pick(targets, self._route, now, body_bytes=body_bytes)

    def _wait_s(self, target):
        cross_zone_cost_s = (
            self._chooser.cross_zone_cost_ms(target, self._body_bytes) / 1000
        )
        return self._wait_s_by_life[target.life] + cross_zone_cost_s

    def busy(self, target, wait_s):
        """Record the wait that a target expects, in seconds."""
        self._wait_s_by_life[target.life] = wait_s

    def close(self, target):
        """Record that a target must not be tried again."""
        self._closed_lives.add(target.life)
        self._wait_s_by_life.pop(target.life, None)
