"""Load model: requests, and the callers that send and retry them."""

import attrs

from tamarackhaven.errors import ANSWER_BY_KIND, ErrorKind, Ran, Repeat

DEADLINE_S = 2.0
SHORT_WORK_S = 0.05
LONG_WORK_S = 0.4
LONG_FRACTION = 0.05
BOOKING_FRACTION = 0.1
KEY_COUNT = 4000
CALLER_COUNT = 40
LOST_ANSWER_FRACTION = 0.01
# A caller retries a booking that got no reply for this long.
BOOKING_TIMEOUT_S = 0.7


@attrs.define(eq=False)
class Request:
    """A request with its replies and its outcome."""

    name: str
    key: int
    caller: str
    is_booking: bool
    work_s: float
    sent_s: float
    deadline_s: float
    is_hot: bool = False
    executions: int = 0
    tries: int = 0
    replies: list = attrs.field(factory=list)
    settled: bool = False
    answered_s: float | None = None
    failure: ErrorKind | None = None

    @property
    def in_time(self):
        """Whether it was answered before its deadline."""
        return self.answered_s is not None

    @property
    def wrongly_refused(self):
        """Whether every try was reported as not run although the request ran."""
        kinds = [kind for kind in self.replies if kind is not None]
        is_all_refused = len(kinds) == self.tries and not self.in_time
        is_said_not_run = all(ANSWER_BY_KIND[kind].ran is Ran.NO for kind in kinds)
        return is_all_refused and is_said_not_run and self.executions > 0


@attrs.frozen
class CallerRules:
    """When callers retry a request.

    Parameters
    ----------
    refusal_wait_s : float or None
        Delay before a refused request is retried; None for the Retry-After of the
        refusal.
    try_timeout_s : float or None
        Time after which any unanswered request is retried; None to retry only
        bookings, after ``BOOKING_TIMEOUT_S``.
    max_tries : float
        Maximum number of tries of one request.
    """

    refusal_wait_s: float | None = None
    try_timeout_s: float | None = None
    max_tries: float = float("inf")


class Callers:
    """Sends requests to a fleet and retries them as ``CallerRules`` say."""

    def __init__(self, sim, fleet, rules):
        self._sim = sim
        self._fleet = fleet
        self._rules = rules
        self.requests = []

    def send(self, request):
        """Send a new request."""
        self.requests.append(request)
        self._sim.after(DEADLINE_S, self._expire, request)
        self._try(request)

    def _try(self, request):
        if request.settled:
            return
        request.tries += 1
        self._fleet.deliver(request, lambda kind, s: self._on_reply(request, kind, s))
        timeout_s = self._rules.try_timeout_s
        if timeout_s is None and request.is_booking:
            timeout_s = BOOKING_TIMEOUT_S
        if timeout_s is not None:
            self._sim.after(
                timeout_s, self._resend_if_unanswered, request, request.tries
            )

    def _resend_if_unanswered(self, request, tries):
        if len(request.replies) < tries == request.tries:
            self._try(request)

    def _on_reply(self, request, kind, retry_after_s):
        if (
            kind is None
            and request.is_booking
            and self._sim.rng.random() < LOST_ANSWER_FRACTION
        ):
            return
        request.replies.append(kind)
        if request.settled:
            return
        if kind is None:
            request.settled = True
            request.answered_s = self._sim.now - request.sent_s
        else:
            self._on_refusal(request, kind, retry_after_s)

    def _on_refusal(self, request, kind, retry_after_s):
        rules = self._rules
        wait_s = retry_after_s if rules.refusal_wait_s is None else rules.refusal_wait_s
        is_final = ANSWER_BY_KIND[kind].repeat is Repeat.NEVER
        is_final = is_final or request.tries >= rules.max_tries
        if is_final or self._sim.now + wait_s >= request.deadline_s:
            request.settled = True
            request.failure = kind
        else:
            self._sim.after(wait_s, self._try, request)

    def _expire(self, request):
        if not request.settled:
            request.settled = True
            request.failure = ErrorKind.ANSWER_TIMEOUT


@attrs.frozen
class Profile:
    """The load that is offered over a run.

    Parameters
    ----------
    load : float
        Offered work as a fraction of the capacity of all targets.
    seconds : float
        How long requests arrive.
    long_fraction : float
        Fraction of the requests that take ``LONG_WORK_S``.
    hot_fraction : float
        Fraction of the requests that are for key 0.
    booking_fraction : float
        Fraction of the requests that are bookings.
    burst_load : float
        Load during bursts, which last 0.3 s at the start of each second but the
        first; 0 for none.
    """

    load: float
    seconds: float = 3.0
    long_fraction: float = LONG_FRACTION
    hot_fraction: float = 0.0
    burst_load: float = 0.0
    booking_fraction: float = BOOKING_FRACTION

    def mean_work_s(self):
        """Return the mean work of a request, in seconds."""
        return (
            SHORT_WORK_S * (1 - self.long_fraction) + LONG_WORK_S * self.long_fraction
        )

    def load_at(self, now):
        """Return the offered load at ``now``, as a fraction of the capacity."""
        is_bursting = self.burst_load and now > 1.0 and now % 1.0 < 0.3
        return self.burst_load if is_bursting else self.load


class Arrivals:
    """Sends requests at exponential intervals, independent of earlier outcomes."""

    def __init__(self, sim, callers, profile, slots):
        self._sim = sim
        self._callers = callers
        self._profile = profile
        self._rate_at_full = slots / profile.mean_work_s()
        self._count = 0
        self._next()

    def _next(self):
        rate = self._rate_at_full * self._profile.load_at(self._sim.now)
        self._sim.after(self._sim.rng.expovariate(rate), self._arrive)

    def _arrive(self):
        if self._sim.now > self._profile.seconds:
            return
        self._callers.send(self._request())
        self._next()

    def _request(self):
        rng = self._sim.rng
        self._count += 1
        is_hot = rng.random() < self._profile.hot_fraction
        work_s = (
            LONG_WORK_S if rng.random() < self._profile.long_fraction else SHORT_WORK_S
        )
        return Request(
            name=str(self._count),
            key=0 if is_hot else rng.randrange(1, KEY_COUNT),
            caller=str(rng.randrange(CALLER_COUNT)),
            is_booking=rng.random() < self._profile.booking_fraction,
            work_s=work_s * rng.uniform(0.8, 1.2),
            sent_s=self._sim.now,
            deadline_s=self._sim.now + DEADLINE_S,
            is_hot=is_hot,
        )
