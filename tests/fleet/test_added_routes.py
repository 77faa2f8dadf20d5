"""Real processes: routes are added all the while and asked for at every daemon."""

import asyncio
import functools
import itertools

from soak._lost_updates import LostUpdates
from standin.added_routes import CONFIG_DEADLINE_S, AddedRoutes
from tests.fleet import real_fleet
from tests.fleet.overloaded_fleet import (
    SERVICES as OVERLOADED_SERVICES,
    OverloadedFleet,
)

NETWORK_NUMBERS = itertools.count(90)
SERVICES = ("owned", "shared")
# Index of the daemon that doesn't get a configuration.
DEPRIVED = 1
KEY = 7
OVERLOADED_S = 20.0
MIN_SERVED_FRACTION = 0.95


class LossyFleet(real_fleet.ProxiedFleet):
    """A fleet whose daemons may lose updates."""

    def __init__(self, *settings):
        super().__init__(*settings)
        self.lost_updates = LostUpdates()
        for proxy in self.proxies:
            proxy.on_flow = functools.partial(
                self.lost_updates.filter_flow, self.target_hosts
            )


def test_a_daemon_that_lost_a_change_denies_no_added_route(tmp_path):
    # Guards against a 404 that rests on the order of messages instead of a comparison.
    async def test(fleet):
        routes = AddedRoutes(fleet, "shared")
        host = fleet.target_hosts[DEPRIVED]
        with fleet.lost_updates.losing(host):
            route = await routes.add()
            await asyncio.sleep(CONFIG_DEADLINE_S + 0.1)
        assert fleet.lost_updates.lost_by_host == {host: 1}
        for _ in range(10):
            for at in range(len(SERVICES)):
                await routes.ask(route, at)
        for answers in routes.answers_by_daemon:
            assert not answers.denied, routes.describe()
            assert answers.served == answers.asked, routes.describe()

    settings = tmp_path, SERVICES, next(NETWORK_NUMBERS)
    real_fleet.run(test, settings, fleet_class=LossyFleet)


def test_daemons_whose_vms_are_overloaded_serve_added_routes(tmp_path):
    # Guards against a daemon that denies or leaves unanswered what was added long ago.
    async def test(fleet):
        routes = AddedRoutes(fleet, "owned", KEY)
        async with fleet.overloaded():
            await routes.run(OVERLOADED_S)
        seen = f"{routes.describe()}\n{fleet.describe()}"
        print(seen)
        for answers in routes.answers_by_daemon:
            assert answers.asked
            assert not answers.denied, seen
            assert answers.served >= MIN_SERVED_FRACTION * answers.asked, seen
        for lags_s in fleet.news_lags_s().values():
            assert lags_s
            assert max(lags_s) < CONFIG_DEADLINE_S, seen
        for checks in fleet.ready_by_host.values():
            assert not any(a is b is False for a, b in itertools.pairwise(checks)), seen
        answered = [status in (200, 503) for status in fleet.upload_statuses]
        assert sum(answered) >= MIN_SERVED_FRACTION * len(answered), seen

    settings = tmp_path, OVERLOADED_SERVICES, next(NETWORK_NUMBERS)
    real_fleet.run(test, settings, fleet_class=OverloadedFleet)
