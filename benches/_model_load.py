"""The load of the model: requests, the callers that send and resend them."""

import attrs

from tamarackhaven.errors import ANSWER_BY_KIND, ErrorKind, Ran, Repeat

DEADLINE_S = 2.0
SHORT_S = 0.05
LONG_S = 0.4
LONG_PART = 0.05
BOOKING_PART = 0.1
KEYS = 4000
CALLERS = 40
LOST_ANSWERS = 0.01
# A caller sends a booking again when nothing came for this long.
BOOKING_TIMEOUT_S = 0.7


@attrs.define(eq=False)
class Request:
    """One request and what became of it."""

    name: str
    key: int
    caller: str
    booking: bool
    work_s: float
    sent_s: float
    deadline_s: float
    hot: bool = False
    executions: int = 0
    tries: int = 0
    replies: list = attrs.field(factory=list)
    settled: bool = False
    answered_s: float | None = None
    failure: ErrorKind | None = None

    @property
    def in_time(self):
        """Whether its answer came before its deadline."""
        return self.answered_s is not None

    @property
    def wrongly_refused(self):
        """Whether every try was said not to have run, and yet it ran."""
        kinds = [kind for kind in self.replies if kind is not None]
        told = len(kinds) == self.tries and not self.in_time
        said_no = all(ANSWER_BY_KIND[kind].ran is Ran.NO for kind in kinds)
        return told and said_no and self.executions > 0


@attrs.frozen
class CallerRules:
    """How callers repeat.

    Parameters
    ----------
    refused_wait_s : float or None
        Time before a refused request comes again; None for the Retry-After told.
    try_timeout_s : float or None
        Time after which any request is sent again, None for bookings only.
    max_tries : float
        Tries after which a caller gives up.
    """

    refused_wait_s: float | None = None
    try_timeout_s: float | None = None
    max_tries: float = float("inf")


class Callers:
    """Sends requests to a fleet and repeats them by the rules."""

    def __init__(self, sim, fleet, rules):
        self._sim = sim
        self._fleet = fleet
        self._rules = rules
        self.requests = []

    def send(self, request):
        """Send a new request."""
        self.requests.append(request)
        self._sim.after(DEADLINE_S, self._deadline, request)
        self._try(request)

    def _try(self, request):
        if request.settled:
            return
        request.tries += 1
        self._fleet.deliver(request, lambda kind, s: self._reply(request, kind, s))
        timeout_s = self._rules.try_timeout_s
        if timeout_s is None and request.booking:
            timeout_s = BOOKING_TIMEOUT_S
        if timeout_s is not None:
            self._sim.after(timeout_s, self._silence, request, request.tries)

    def _silence(self, request, tries):
        if len(request.replies) < tries == request.tries:
            self._try(request)

    def _reply(self, request, kind, retry_after_s):
        if kind is None and request.booking and self._sim.rng.random() < LOST_ANSWERS:
            return
        request.replies.append(kind)
        if request.settled:
            return
        if kind is None:
            request.settled = True
            request.answered_s = self._sim.now - request.sent_s
        else:
            self._refused(request, kind, retry_after_s)

    def _refused(self, request, kind, retry_after_s):
        rules = self._rules
        wait_s = retry_after_s if rules.refused_wait_s is None else rules.refused_wait_s
        never = ANSWER_BY_KIND[kind].repeat is Repeat.NEVER
        never = never or request.tries >= rules.max_tries
        if never or self._sim.now + wait_s >= request.deadline_s:
            request.settled = True
            request.failure = kind
        else:
            self._sim.after(wait_s, self._try, request)

    def _deadline(self, request):
        if not request.settled:
            request.settled = True
            request.failure = ErrorKind.ANSWER_TIMEOUT


@attrs.frozen
class Profile:
    """What is asked for.

    Parameters
    ----------
    load : float
        Work offered as a part of the capacity of all targets.
    seconds : float
        For how long.
    long_part : float
        Part of the requests that are long.
    hot_part : float
        Part of the requests that are for one key.
    booking_part : float
        Part of the requests that are bookings.
    burst_load : float
        Load during bursts: 0.3 s at the start of each second from the second on.
    """

    load: float
    seconds: float = 3.0
    long_part: float = LONG_PART
    hot_part: float = 0.0
    burst_load: float = 0.0
    booking_part: float = BOOKING_PART

    def mean_work_s(self):
        """Return the mean work of a request, in seconds."""
        return SHORT_S * (1 - self.long_part) + LONG_S * self.long_part

    def load_at(self, now):
        """Return the load at ``now``."""
        bursting = self.burst_load and now > 1.0 and now % 1.0 < 0.3
        return self.burst_load if bursting else self.load


class Arrivals:
    """Sends requests at random times, whatever became of earlier ones."""

    def __init__(self, sim, callers, profile, places):
        self._sim = sim
        self._callers = callers
        self._profile = profile
        self._rate_at_full = places / profile.mean_work_s()
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
        hot = rng.random() < self._profile.hot_part
        work_s = LONG_S if rng.random() < self._profile.long_part else SHORT_S
        return Request(
            name=str(self._count),
            key=0 if hot else rng.randrange(1, KEYS),
            caller=str(rng.randrange(CALLERS)),
            booking=rng.random() < self._profile.booking_part,
            work_s=work_s * rng.uniform(0.8, 1.2),
            sent_s=self._sim.now,
            deadline_s=self._sim.now + DEADLINE_S,
            hot=hot,
        )
