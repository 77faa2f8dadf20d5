"""Adds routes all the while, and asks each daemon for the newest ones."""

import asyncio
import collections
import copy
import time

import attrs

from standin.fleet import CONFIGURATION

# A daemon serves a route that was accepted longer ago than this.
CONFIG_DEADLINE_S = 2.0
ADD_INTERVAL_S = 1.5
ASK_INTERVAL_S = 0.25
# So many of the newest routes are asked for at each daemon.
ASKED_ROUTES = 3


@attrs.define
class AddedRoute:
    """A route that an operator has added.

    Parameters
    ----------
    prefix : str
        Its path prefix.
    accepted_s : float
        When it was acknowledged, in seconds of ``time.monotonic()``.
    served_s_by_daemon : dict
        Seconds until each daemon, by its index, had first served it.
    """

    prefix: str
    accepted_s: float
    served_s_by_daemon: dict = attrs.field(factory=dict)


@attrs.define
class RouteAnswers:
    """What requests got that were sent ``CONFIG_DEADLINE_S`` after the acceptance.

    Parameters
    ----------
    count_by_status : collections.Counter
        By HTTP status, 0 for no answer.
    """

    count_by_status: collections.Counter = attrs.field(factory=collections.Counter)

    @property
    def asked(self):
        """Number of requests."""
        return self.count_by_status.total()

    @property
    def served(self):
        """Number of requests that the service answered."""
        return self.count_by_status[200]

    @property
    def denied(self):
        """Number of requests whose callers were told that no route exists."""
        return self.count_by_status[404]


class AddedRoutes:
    """An operator who adds routes, and callers who ask every daemon for them.

    Parameters
    ----------
    fleet : Fleet
        Its configuration must be that of its start.
    service : str
        Service of the routes.
    key : int or None
        Of the requests, None if the service isn't divided by keys.
    ask_timeout_s : float
        A request without an answer for so long counts as not answered.

    Attributes
    ----------
    answers_by_daemon : list of RouteAnswers
        By the daemon's index.
    routes : list of AddedRoute
        Oldest first.
    """

    def __init__(self, fleet, service, key=None, ask_timeout_s=2.5):
        self._fleet = fleet
        self._service = service
        self._key = key
        self._ask_timeout_s = ask_timeout_s
        self.answers_by_daemon = [RouteAnswers() for _ in fleet.targets]
        self.routes = []

    async def run(self, seconds):
        """Add routes and ask for them for so many seconds."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(
            self._add_until(end_s),
            *(self._ask_until(end_s, at) for at in range(len(self._fleet.targets))),
        )

    async def _add_until(self, end_s):
        while time.monotonic() < end_s:
            await self.add()
            await asyncio.sleep(ADD_INTERVAL_S)

    async def add(self):
        """Add a route; return its ``AddedRoute`` once it's accepted.

        Raises
        ------
        AssertionError
            If it's refused.
        """
        number = len(self.routes) + 2
        example = CONFIGURATION["virtual_hosts"][0]["path_routes"][1]
        route = copy.deepcopy(example) | {
            "name": f"added{number}",
            "path_prefix": f"/added{number}/",
            "service": self._service,
        }
        document = {
            "version": f"r{number}",
            "upsert": {
                "virtual_hosts": [{"host": "h.example", "path_routes": [route]}]
            },
        }
        order = "/api/config/update"
        answer = await self._fleet.order(order, document, f"r{number - 1}")
        assert answer.status == 200, answer
        added = AddedRoute(route["path_prefix"], time.monotonic())
        self.routes.append(added)
        return added

    async def _ask_until(self, end_s, at):
        asked = set()
        while time.monotonic() < end_s:
            for route in self.routes[-ASKED_ROUTES:]:
                asked.add(asyncio.create_task(self.ask(route, at)))
            await asyncio.sleep(ASK_INTERVAL_S)
        await asyncio.gather(*asked)

    async def ask(self, route, at):
        """Ask a daemon for a route once, and count what it answers."""
        sent_s = time.monotonic()
        answer = await self._fleet.ask(
            route.prefix, self._key, at, timeout_s=self._ask_timeout_s
        )
        after_s = sent_s - route.accepted_s
        if answer.status == 200:
            route.served_s_by_daemon.setdefault(at, round(after_s, 3))
        if after_s > CONFIG_DEADLINE_S:
            self.answers_by_daemon[at].count_by_status[answer.status] += 1

    def latest_first_served_s(self, at):
        """Return the longest time until a daemon served a route, in seconds."""
        times_s = [route.served_s_by_daemon.get(at) for route in self.routes]
        return max((each for each in times_s if each is not None), default=None)

    def describe(self):
        """Return the counts of each daemon, a line each."""
        return "\n".join(
            f"{host}: {dict(answers.count_by_status)},"
            f" served after {self.latest_first_served_s(at)} s at most"
            for at, (host, answers) in enumerate(
                zip(self._fleet.target_hosts, self.answers_by_daemon, strict=True)
            )
        )
