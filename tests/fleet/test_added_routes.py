"""Real processes: routes are added all the while and asked for at every daemon."""

import asyncio
import itertools

from soak._proxy import Direction
from standin.added_routes import CONFIG_DEADLINE_S, AddedRoutes
from standin.fleet_target import PORTS
from standin.message_filter import MessageFilter
from tests.fleet import real_fleet
from tests.fleet.overloaded_fleet import (
    SERVICES as OVERLOADED_SERVICES,
    OverloadedFleet,
)

NETWORK_NUMBERS = itertools.count(90)
SERVICES = ("owned", "shared")
# Index of the daemon that doesn't get some of its leader's messages.
DEPRIVED = 1
KEY = 7
OVERLOADED_S = 20.0
MIN_SERVED_FRACTION = 0.95
CONFIGURATION_MESSAGES = frozenset(("ConfigurationChange", "ConfigurationView"))


class DepriveDaemon:
    """Loses the next configuration that a leader sends to one daemon."""

    def __init__(self, fleet):
        host = fleet.target_hosts[DEPRIVED]
        self._address = f"{host}:{PORTS['links']}".encode()
        self._is_active = False
        self._lost = 0
        for proxy in fleet.proxies:
            proxy.on_flow = self._filter

    def _filter(self, flow):
        if self._address in flow.first_bytes:
            flow.filter_by_direction[Direction.BACK] = MessageFilter(self._is_lost)

    def _is_lost(self, kind):
        is_lost = self._is_active and kind in CONFIGURATION_MESSAGES
        if is_lost:
            self._is_active = False
            self._lost += 1
        return is_lost

    def begin(self):
        self._is_active = True

    @property
    def has_lost_one(self):
        return self._lost == 1


class DeprivedFleet(real_fleet.ProxiedFleet):
    def __init__(self, *settings):
        super().__init__(*settings)
        self.deprivation = DepriveDaemon(self)


def test_a_daemon_that_lost_a_change_denies_no_added_route(tmp_path):
    # Guards against a 404 that rests on the order of messages instead of a comparison.
    async def test(fleet):
        routes = AddedRoutes(fleet, "shared")
        fleet.deprivation.begin()
        route = await routes.add()
        await asyncio.sleep(CONFIG_DEADLINE_S + 0.1)
        assert fleet.deprivation.has_lost_one
        for _ in range(10):
            for at in range(len(SERVICES)):
                await routes.ask(route, at)
        for answers in routes.answers_by_daemon:
            assert not answers.denied, routes.describe()
            assert answers.served == answers.asked, routes.describe()

    settings = tmp_path, SERVICES, next(NETWORK_NUMBERS)
    real_fleet.run(test, settings, fleet_class=DeprivedFleet)


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
