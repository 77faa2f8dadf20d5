"""Which request starts at the target beside the daemon, waits, or is refused. Pure.

Every request to a target passes its daemon, so one queue decides for all callers.
"""

import collections
import itertools

import attrs

from tamarackhaven.errors import ErrorKind

# Weight of the newest answer in a route's mean working time: some ten answers.
WORK_SMOOTHING_FACTOR = 0.1
# Before the first answer of a route. Too long a guess would refuse what has room.
INITIAL_WORK_S = 0.1
# Load: a queue that is longer than the time left. Harm: a request waits in vain, and
# its caller learns late that it must come back. Limit: the estimate of the wait is
# rough, so a request is let in only if it fits with a quarter to spare.
WAIT_SAFETY_FACTOR = 1.25
# Load: demand about as high as the slots, or higher. Harm: one request that waits until
# it is late makes those behind it late, too, and so on. Limit: what can't be in time
# is sent away at once, unless a place is about to be free: a tenth of its time.
LATE_WAIT_FRACTION = 0.1
# Short requests may wait for this part of the time they have.
SHORT_WAIT_FRACTION = 0.6
# The queue counts as overloaded if it has not been empty for so long; some working
# times of the slowest routes.
OVERLOAD_AFTER_S = 1.0
# Load: a burst of callers that all hear the same time to come back. Harm: they come
# back as one wave. Limit: spread over twice the time after which there is room.
RETRY_JITTER_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
COLD_WINDOW_S = 1.0
# Load: lasting overload by long requests. Harm: sent away, a short call fails the work
# elsewhere that waits for it, and all that this has used is lost; let in, it takes a
# place for a moment. Limit: work of less than this part of the mean counts as short.
SHORT_WORK_FRACTION = 0.6


# Load: a zone comes back cold, with the demand of before. Harm: at the cold rate alone
# most of it is turned away, though targets fall over only well above that. Limit: so
# many times the cold rate; half as much again is too much.
COLD_RATE_FACTOR = 1.25


def cold_starts(per_s):
    """Return the starts in any second that a cold target is given; at least 1."""
    return max(int(COLD_RATE_FACTOR * per_s), 1)


@attrs.frozen
class Offer:
    """A request at the gate; times in seconds of the boot clock.

    Parameters
    ----------
    number : int
        Unique.
    route : str
        Whose working times it shares.
    priority : int
        0 starts first.
    objective_s, deadline_s : float
        Until when an answer is in time, and of any use.
    waits : bool
        Whether it may wait here; else it starts at once or goes elsewhere.
    """

    number: int
    route: str
    priority: int
    objective_s: float
    deadline_s: float
    waits: bool = True


@attrs.frozen
class Start:
    """The request goes to the target now."""

    number: int


@attrs.frozen
class Refuse:
    """The request is not run."""

    number: int
    kind: ErrorKind
    retry_after_s: float


@attrs.define
class _MeanWork:
    """Mean working time of one route's requests, in seconds."""

    mean_s: float = INITIAL_WORK_S
    count: int = 0

    def add(self, seconds):
        self.count += 1
        weight = max(WORK_SMOOTHING_FACTOR, 1 / self.count)
        self.mean_s += weight * (seconds - self.mean_s)


class Gate:
    """Admits requests to one target.

    Parameters
    ----------
    slots : int
        Requests that the target runs at once.
    random : callable
        Gives numbers from 0 to 1, to spread the times to come back.
    """

    def __init__(self, slots, random):
        self.slots = slots
        self._random = random
        self._work_by_route = collections.defaultdict(_MeanWork)
        self._overall_work = _MeanWork()
        self._running_by_number = {}
        self._waiting_by_number = {}
        self._arrival_order = itertools.count()
        self._cold_rate_per_s = None
        self._recent_starts_s = collections.deque()
        self._last_empty_s = float("-inf")

    @property
    def running(self):
        """Requests at the target."""
        return len(self._running_by_number)

    @property
    def waiting(self):
        """Requests that wait."""
        return len(self._waiting_by_number)

    @property
    def work_s(self):
        """Mean working time over all routes, in seconds."""
        return self._overall_work.mean_s

    @property
    def has_worked(self):
        """Whether the target has answered a request yet."""
        return self._overall_work.count > 0

    def route_work_s(self, route):
        """Return the mean working time of a route's requests, 0 before the first."""
        work = self._work_by_route.get(route)
        return work.mean_s if work is not None and work.count else 0.0

    @property
    def is_cold(self):
        """Whether starts are limited by the target's cold rate."""
        return self._cold_rate_per_s is not None

    def set_cold(self, per_s):
        """Start at most ``per_s`` requests in any second; None for no such limit."""
        self._cold_rate_per_s = per_s

    def offer(self, offer, now):
        """Return ``Start``, ``Refuse`` or None if the request waits."""
        if now >= offer.deadline_s:
            return Refuse(offer.number, ErrorKind.DEADLINE_PAST, 0.0)
        if not self._waiting_by_number:
            self._last_empty_s = now
        if not self._waiting_by_number and self._has_room(now):
            return self._start(offer, now)
        wait_s = self._estimated_wait_s(offer, now)
        if not offer.waits:
            return Refuse(offer.number, self._refusal_kind, wait_s)
        if WAIT_SAFETY_FACTOR * wait_s > self.longest_wait_s(offer, now):
            return self.refuse(offer, wait_s)
        self._waiting_by_number[offer.number] = (next(self._arrival_order), offer)
        return None

    def expected_wait_s(self, offer, now):
        """Return about how long a request would wait here, in seconds."""
        if not self._waiting_by_number and self._has_room(now):
            return 0.0
        return self._estimated_wait_s(offer, now)

    def foresee(self, offer, transfer_s, has_other_bodies, now):
        """Return a ``Refuse`` for a request that its body had better not follow.

        Parameters
        ----------
        offer : Offer
            Of the request.
        transfer_s : float
            About how long its body takes to come.
        has_other_bodies : bool
            Whether other bodies are on their way.
        now : float
            Seconds of the boot clock.
        """
        if now >= offer.deadline_s:
            return Refuse(offer.number, ErrorKind.DEADLINE_PAST, 0.0)
        queue_s = self.expected_wait_s(offer, now)
        wait_s = max(transfer_s, queue_s)
        if not offer.waits and (queue_s or has_other_bodies):
            return Refuse(offer.number, self._refusal_kind, wait_s)
        if WAIT_SAFETY_FACTOR * wait_s > self.longest_wait_s(offer, now):
            return self.refuse(offer, wait_s)
        return None

    def latest_start_s(self, offer):
        """Return until when a request must start for its answer to be in time."""
        return offer.objective_s - self._work_by_route[offer.route].mean_s

    def longest_wait_s(self, offer, now):
        """Return how long a request may wait and still be worth its place."""
        work_s = self._work_by_route[offer.route].mean_s
        left_s = offer.deadline_s - now - work_s
        if self._is_short(offer):
            return SHORT_WAIT_FRACTION * left_s
        in_time_s = offer.objective_s - now - work_s
        return min(max(in_time_s, LATE_WAIT_FRACTION * left_s), left_s)

    def _is_short(self, offer):
        """Whether a request takes its place for a short time only."""
        work = self._work_by_route[offer.route]
        return (
            work.count > 0
            and work.mean_s < SHORT_WORK_FRACTION * self._overall_work.mean_s
        )

    def _is_overloaded(self, now):
        """Whether the queue has not been empty for some time."""
        return now - self._last_empty_s > OVERLOAD_AFTER_S

    def _has_room(self, now):
        if len(self._running_by_number) >= self.slots:
            return False
        return self._cold_rate_per_s is None or self._has_cold_room(now)

    def _has_cold_room(self, now):
        while self._recent_starts_s and now - self._recent_starts_s[0] >= COLD_WINDOW_S:
            self._recent_starts_s.popleft()
        return len(self._recent_starts_s) < self._cold_rate_per_s

    def _start(self, offer, now):
        self._running_by_number[offer.number] = (now, offer)
        self._recent_starts_s.append(now)
        if (
            self._cold_rate_per_s is None
            and len(self._recent_starts_s) > self.slots * 64
        ):
            self._recent_starts_s.popleft()
        return Start(offer.number)

    @property
    def _refusal_kind(self):
        return ErrorKind.TARGET_COLD if self.is_cold else ErrorKind.QUEUE_FULL

    def refuse(self, offer, wait_s):
        """Return the ``Refuse`` of a request that would have had to wait so long."""
        retry_after_s = wait_s * (1 + RETRY_JITTER_FACTOR * self._random())
        retry_after_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refuse(offer.number, self._refusal_kind, retry_after_s)

    def _estimated_wait_s(self, offer, now):
        """Return about how long ``offer`` would wait for its start."""
        rank = self._rank(offer, now)
        ahead = [
            waiting
            for _, waiting in self._waiting_by_number.values()
            if self._rank(waiting, now) <= rank
        ]
        wait_s = self._slot_wait_s(ahead)
        if self._cold_rate_per_s is not None:
            wait_s = max(wait_s, (len(ahead) + 1) / self._cold_rate_per_s)
        return wait_s

    def _slot_wait_s(self, ahead):
        """Return about when a slot is left after those ahead have each taken one.

        Failure: all work that is ahead, divided by the slots, is when the last of it
        ends. Symptom: with all slots busy and nobody waiting, a request is refused
        though the next slot is free much sooner, and slots stand idle. Enough: of so
        many running requests, whose times vary a lot, the first one ends after one
        part in so many of their mean time, however long they have run.
        """
        if len(self._running_by_number) < self.slots:
            return 0.0
        mean_s = [
            self._mean_work_s(each) for _, each in self._running_by_number.values()
        ]
        first_end_s = sum(mean_s) / len(mean_s)
        return (first_end_s + sum(map(self._mean_work_s, ahead))) / max(self.slots, 1)

    def _mean_work_s(self, offer):
        return self._work_by_route[offer.route].mean_s

    def _rank(self, offer, now):
        """Return what sorts first: in time before late, the more urgent, the shorter.

        Load: more work than slots. Harm: a slot goes to a request whose answer is late
        anyway while one that could be in time becomes late, too; or a short call, on
        which work that has begun elsewhere waits, stands behind long requests until
        that work fails. Limit: what is late or long still gets what nobody else needs,
        and short work is, by its nature, a small part of the slots.
        """
        work_s = self._work_by_route[offer.route].mean_s
        is_late = now + work_s > offer.objective_s and not self._is_short(offer)
        return is_late, offer.priority, work_s

    def finish(self, number, worked, now):
        """Take in the end of a request; ``worked`` if the target answered it."""
        entry = self._running_by_number.pop(number, None)
        if entry is not None and worked:
            started_s, offer = entry
            self._work_by_route[offer.route].add(now - started_s)
            self._overall_work.add(now - started_s)
        return self.settle(now)

    def withdraw(self, number, now):
        """Forget a waiting request that nobody wants any more."""
        self._waiting_by_number.pop(number, None)
        return self.settle(now)

    def settle(self, now):
        """Return the decisions on waiting requests that are due."""
        decisions = []
        for number, (_, offer) in list(self._waiting_by_number.items()):
            if self._should_drop(offer, now):
                del self._waiting_by_number[number]
                decisions.append(self.refuse(offer, MIN_RETRY_AFTER_S))
        while self._waiting_by_number and self._has_room(now):
            number = min(
                self._waiting_by_number,
                key=lambda each: (
                    self._rank(self._waiting_by_number[each][1], now),
                    self._waiting_by_number[each][0],
                ),
            )
            _, offer = self._waiting_by_number.pop(number)
            decisions.append(self._start(offer, now))
        return decisions

    def _should_drop(self, offer, now):
        """Whether a waiting request has no chance any more.

        In lasting overload those that can still be in time go first, so one that is
        late would wait until its deadline.
        """
        work_s = self._work_by_route[offer.route].mean_s
        if now + work_s / 2 > offer.deadline_s:
            return True
        is_late = now + work_s > offer.objective_s and not self._is_short(offer)
        return (
            is_late
            and self._is_overloaded(now)
            and len(self._waiting_by_number) > self.slots
        )
