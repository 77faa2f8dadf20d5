"""Admission control for the target beside the daemon: start, queue or refuse. Pure.

Every request to a target passes through its daemon, so one queue decides for all
callers. A request's processing time (``work_s``) is the time from its start at the
target to its answer.
"""

import collections
import itertools

import attrs

from tamarackhaven.errors import ErrorKind
from tamarackhaven.sidecar._cold_starts import ColdStarts
from tamarackhaven.sidecar._rate_limit import RateLimit, RecentStarts

# Weight of the newest answer in a route's mean processing time; the mean covers about
# ten answers.
WORK_SMOOTHING_FACTOR = 0.1
# Assumed for a route without answers. A longer guess would refuse requests that fit.
INITIAL_WORK_S = 0.1
# A request that waits longer than the time it has left fails anyway, and its caller
# learns late that it must retry. The estimate of the wait is rough, so a request is
# queued only if it fits with a quarter to spare.
WAIT_SAFETY_FACTOR = 1.25
# With demand near or above the slots, a request that waits until it is late delays
# those behind it past their objectives, too. A request that can't be in time is
# therefore refused at once, unless a slot is expected within this fraction of the time
# to its deadline.
LATE_WAIT_FRACTION = 0.1
# Short requests may wait for this fraction of the time to their deadline.
SHORT_WAIT_FRACTION = 0.6
# The queue counts as overloaded if it hasn't been empty for this long, which is a few
# processing times of the slowest routes.
OVERLOAD_AFTER_S = 1.0
# If a burst of callers got the same Retry-After, they would all retry at once. The
# retries are spread over up to twice the expected wait.
RETRY_JITTER_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# During lasting overload, refusing a short call fails the work elsewhere that waits for
# it and wastes what that has used; admitting it takes a slot for a moment only. A
# request counts as short if its mean is below this fraction of the mean of all routes.
SHORT_WORK_FRACTION = 0.6
# Under a limit that a target names, the requests for one hot key could get every start.
# Those for keys with fewer starts in this time go first.
FAIRNESS_WINDOW_S = 4.0


@attrs.frozen
class Offer:
    """A request that asks for admission; times in seconds of the boot clock.

    Parameters
    ----------
    number : int
        Unique.
    route : str
        Requests of one route share their mean processing time.
    priority : int
        0 starts first.
    objective_s, deadline_s : float
        Until when an answer is in time, and until when it is of any use.
    waits : bool
        Whether the request may be queued; otherwise it starts at once or is refused.
    key : int
        Of the request, -1 without one.
    """

    number: int
    route: str
    priority: int
    objective_s: float
    deadline_s: float
    waits: bool = True
    key: int = -1


@attrs.frozen
class Start:
    """Decision: the request is sent to the target now."""

    number: int


@attrs.frozen
class Refuse:
    """Decision: the request is not run."""

    number: int
    kind: ErrorKind
    retry_after_s: float


@attrs.define
class _MeanWork:
    """Moving average of the processing times of one route, in seconds."""

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
        Returns numbers from 0 to 1, for the jitter of Retry-After.
    started_s : float
        When the daemon was started, in seconds of the boot clock.
    """

    def __init__(self, slots, random, started_s=float("-inf")):
        self.slots = slots
        self._random = random
        self._work_by_route = collections.defaultdict(_MeanWork)
        self._overall_work = _MeanWork()
        self._running_by_number = {}
        self._waiting_by_number = {}
        self._arrival_order = itertools.count()
        self.cold = ColdStarts(started_s)
        self._last_empty_s = float("-inf")
        self._limit = None
        self._limited_starts = RecentStarts(FAIRNESS_WINDOW_S)
        self._has_lower_limit = False

    @property
    def running(self):
        """Number of requests that the target runs."""
        return len(self._running_by_number)

    @property
    def waiting(self):
        """Number of queued requests."""
        return len(self._waiting_by_number)

    @property
    def work_s(self):
        """Mean processing time over all routes, in seconds."""
        return self._overall_work.mean_s

    @property
    def has_worked(self):
        """Whether the target has answered any request."""
        return self._overall_work.count > 0

    def route_work_s(self, route):
        """Return the mean processing time of a route in seconds, 0 without answers."""
        work = self._work_by_route.get(route)
        return work.mean_s if work is not None and work.count else 0.0

    def set_limit(self, per_s, now):
        """Start at most ``per_s`` requests per second from now on; None for any number.

        ``per_s`` is above 0.
        """
        if per_s is None:
            self._limit = None
            self._has_lower_limit = False
        elif self._limit is None:
            self._limit = RateLimit(per_s, now)
            self._limited_starts = RecentStarts(FAIRNESS_WINDOW_S)
            self._has_lower_limit = True
        elif per_s != self._limit.per_s:
            self._has_lower_limit |= per_s < self._limit.per_s
            self._limit.set_rate(per_s, now)

    def limit_wait_s(self, now):
        """Return how long the limit delays a new request's start, in seconds."""
        if self._limit is None:
            return 0.0
        return self._limit.wait_s(now, len(self._waiting_by_number))

    def limited_starts(self, now):
        """Return the number of starts of the last seconds under the limit."""
        return self._limited_starts.count(now)

    def offer(self, offer, now):
        """Return ``Start``, ``Refuse``, or None if the request is queued."""
        if now >= offer.deadline_s:
            return Refuse(offer.number, ErrorKind.DEADLINE_PAST, 0.0)
        if not self._waiting_by_number:
            self._last_empty_s = now
        if not self._waiting_by_number and self._has_room(now):
            return self._start(offer, now)
        wait_s = self._estimated_wait_s(offer, now)
        if not offer.waits:
            return Refuse(offer.number, self._refusal_kind(now), wait_s)
        if not self.has_time_for(offer, wait_s, now):
            return self.refuse(offer, wait_s, now)
        self._waiting_by_number[offer.number] = (next(self._arrival_order), offer)
        return None

    def expected_wait_s(self, offer, now):
        """Return the estimated wait of a request for its start, in seconds."""
        if not self._waiting_by_number and self._has_room(now):
            return 0.0
        return self._estimated_wait_s(offer, now)

    def refuse_early(self, offer, transfer_s, has_other_bodies, now):
        """Return a ``Refuse`` if a request's body shouldn't be transferred, else None.

        Parameters
        ----------
        offer : Offer
            Of the request.
        transfer_s : float
            Estimated time to transfer its body.
        has_other_bodies : bool
            Whether other bodies are being transferred.
        now : float
            Seconds of the boot clock.
        """
        if now >= offer.deadline_s:
            return Refuse(offer.number, ErrorKind.DEADLINE_PAST, 0.0)
        queue_s = self.expected_wait_s(offer, now)
        wait_s = max(transfer_s, queue_s)
        if not offer.waits and (queue_s or has_other_bodies):
            return Refuse(offer.number, self._refusal_kind(now), wait_s)
        if not self.has_time_for(offer, wait_s, now):
            return self.refuse(offer, wait_s, now)
        return None

    def latest_start_s(self, offer):
        """Return when a request must start, at the latest, to be answered in time."""
        return offer.objective_s - self._work_by_route[offer.route].mean_s

    def has_time_for(self, offer, wait_s, now):
        """Whether a request may wait for an estimated ``wait_s`` seconds."""
        return WAIT_SAFETY_FACTOR * wait_s <= self.longest_wait_s(offer, now)

    def longest_wait_s(self, offer, now):
        """Return for how many seconds a request may wait and still be worth a slot."""
        work_s = self._work_by_route[offer.route].mean_s
        left_s = offer.deadline_s - now - work_s
        if self._is_short(offer):
            return SHORT_WAIT_FRACTION * left_s
        in_time_s = offer.objective_s - now - work_s
        return min(max(in_time_s, LATE_WAIT_FRACTION * left_s), left_s)

    def _is_short(self, offer):
        """Whether a request's route has a short processing time."""
        work = self._work_by_route[offer.route]
        return (
            work.count > 0
            and work.mean_s < SHORT_WORK_FRACTION * self._overall_work.mean_s
        )

    def _is_overloaded(self, now):
        """Whether the queue hasn't been empty for ``OVERLOAD_AFTER_S``."""
        return now - self._last_empty_s > OVERLOAD_AFTER_S

    def _has_room(self, now):
        if len(self._running_by_number) >= self.slots:
            return False
        if self._limit is not None and self._limit.wait_s(now):
            return False
        return self.cold.has_room(now)

    def _start(self, offer, now):
        self._running_by_number[offer.number] = (now, offer)
        self.cold.add(now)
        if self._limit is not None:
            self._limit.take(now)
            self._limited_starts.add(offer.key, now)
        return Start(offer.number)

    def _refusal_kind(self, now):
        if self._limit is not None and self.running < self.slots:
            return ErrorKind.TARGET_LIMITED
        is_cold = self.cold.is_cold or not self.cold.has_room(now)
        return ErrorKind.TARGET_COLD if is_cold else ErrorKind.QUEUE_FULL

    def refuse(self, offer, wait_s, now):
        """Return the ``Refuse`` for a request with an expected wait of ``wait_s``."""
        retry_after_s = wait_s * (1 + RETRY_JITTER_FACTOR * self._random())
        retry_after_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refuse(offer.number, self._refusal_kind(now), retry_after_s)

    def _estimated_wait_s(self, offer, now):
        """Return the estimated wait of ``offer`` for its start, in seconds."""
        rank = self._rank(offer, now)
        ahead = [
            waiting
            for _, waiting in self._waiting_by_number.values()
            if self._rank(waiting, now) <= rank
        ]
        wait_s = max(self._slot_wait_s(ahead), self.cold.wait_s(len(ahead), now))
        if self._limit is not None:
            wait_s = max(wait_s, self._limit.wait_s(now, len(ahead)))
        return wait_s

    def _slot_wait_s(self, ahead):
        """Return in how many seconds a slot is left after each of ``ahead`` took one.

        The time for all running and queued work, divided by the slots, says when the
        last of it ends. With all slots busy and an empty queue, a request would be
        refused although a slot becomes free much sooner, and slots would be idle.
        Processing times vary a lot, so of n running requests the first ends after about
        1/n of their mean time, however long they have run.
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
        """Return a sort key: in time before late, then by priority, then shorter first.

        With more work than slots, a late request would take a slot from one that could
        still be in time. A short call behind long requests would fail the work
        elsewhere that waits for it. Late and long requests get the slots that no other
        request needs; short work is a small part of the slots.
        """
        work_s = self._work_by_route[offer.route].mean_s
        is_late = now + work_s > offer.objective_s and not self._is_short(offer)
        key_starts = 0
        if self._limit is not None:
            key_starts = self._limited_starts.count_of(offer.key, now)
        return is_late, offer.priority, key_starts, work_s

    def finish(self, number, worked, now):
        """Record that a request ended and return the decisions that are due.

        Parameters
        ----------
        number : int
            Of the request.
        worked : bool
            Whether the target answered it, so that its processing time counts.
        now : float
            Seconds of the boot clock.
        """
        entry = self._running_by_number.pop(number, None)
        if entry is not None and worked:
            started_s, offer = entry
            self._work_by_route[offer.route].add(now - started_s)
            self._overall_work.add(now - started_s)
        return self.settle(now)

    def withdraw(self, number, now):
        """Remove a queued request that was cancelled; return the decisions due."""
        self._waiting_by_number.pop(number, None)
        return self.settle(now)

    def settle(self, now):
        """Return the ``Start`` and ``Refuse`` decisions due for queued requests."""
        decisions = self._refuse_unfit(now) if self._has_lower_limit else []
        for number, (_, offer) in list(self._waiting_by_number.items()):
            if self._should_drop(offer, now):
                del self._waiting_by_number[number]
                decisions.append(self.refuse(offer, MIN_RETRY_AFTER_S, now))
        while self._waiting_by_number and self._has_room(now):
            number = min(self._waiting_by_number, key=self._start_order(now))
            _, offer = self._waiting_by_number.pop(number)
            decisions.append(self._start(offer, now))
        return decisions

    def _start_order(self, now):
        """Return a function from the number of a queued request to its sort key."""

        def order(number):
            arrival, offer = self._waiting_by_number[number]
            return self._rank(offer, now), arrival

        return order

    def _refuse_unfit(self, now):
        """Refuse queued requests that a lower limit leaves no time for."""
        self._has_lower_limit = False
        refusals = []
        last_first = sorted(
            self._waiting_by_number, key=self._start_order(now), reverse=True
        )
        for number in last_first:
            entry = self._waiting_by_number.pop(number)
            _, offer = entry
            wait_s = self._estimated_wait_s(offer, now)
            if not self.has_time_for(offer, wait_s, now):
                refusals.append(self.refuse(offer, wait_s, now))
            else:
                self._waiting_by_number[number] = entry
        return refusals

    def _should_drop(self, offer, now):
        """Whether a queued request should be refused.

        It can't be answered by its deadline, or it is late in lasting overload.

        Under lasting overload, requests that can still be in time go first, so a late
        one would wait until its deadline.
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
