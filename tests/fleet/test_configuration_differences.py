"""Real processes: which configuration a daemon has in force after its sessions change.

The links to the control VMs pass through proxies that can hold up one connection.
"""

import asyncio
import copy

from soak._proxy import Direction
from standin.fleet import CONFIGURATION
from tests.fleet.real_fleet import ProxiedFleet

NET = 91
SERVICES = ("owned", "shared")
KEY = 7
HELLO = b"DaemonHello"


class DeclaringFleet(ProxiedFleet):
    """A fleet whose configuration gets further routes."""

    def __init__(self, folder):
        super().__init__(folder, SERVICES, NET)

    async def declare(self, version, service_by_prefix):
        """Put a configuration with further routes in force."""
        document = copy.deepcopy(CONFIGURATION)
        document["version"] = f"r{version}"
        path_routes = document["virtual_hosts"][0]["path_routes"]
        for prefix, service in service_by_prefix.items():
            other = {"name": prefix, "path_prefix": prefix, "service": service}
            path_routes.append({**path_routes[0], **other})
        base = f"r{version - 1}"
        answer = await self.order("/api/config/replace", document, base)
        assert answer.status == 200

    async def has_taken(self, daemon, version):
        """Wait until a daemon has logged that it took a version."""

        async def is_taken():
            return any(
                line.get("sentence") == "daemon: configuration taken"
                and line["version"] == version
                for line in daemon.lines
            )

        await self.until(is_taken)


def run(test, tmp_path):
    async def main():
        fleet = DeclaringFleet(tmp_path)
        try:
            await fleet.start()
            await test(fleet)
        finally:
            await fleet.stop()

    asyncio.run(main())


def flows_of(daemon, proxy):
    """Return the open connections of a daemon through a proxy."""
    hello = daemon.name.encode()
    return [
        each
        for each in proxy.flows
        if HELLO in each.first_bytes and hello in each.first_bytes
    ]


def test_a_route_that_was_moved_and_moved_back_runs_at_the_service_of_now(
    tmp_path,
):
    # Guards against: a daemon applies a difference to another configuration than the
    # one it was made from, and serves an older version's routes as the newest.
    async def test(fleet):
        daemon = fleet.daemons[0]
        await fleet.declare(2, {"/moved/": "shared"})
        await fleet.has_taken(daemon, 2)
        proxy = fleet.proxies[await fleet.leader()]
        (session,) = flows_of(daemon, proxy)
        held = []

        def hold(flow):
            if HELLO in flow.first_bytes and daemon.name.encode() in flow.first_bytes:
                flow.silenced_directions = frozenset(Direction)
                held.append(flow)

        # The leader gets no more reports, so the daemon looks for it and says that it
        # has version 2; that word is held up.
        proxy.on_flow = hold
        session.silenced_directions = frozenset((Direction.THERE,))

        async def looks_for_the_leader():
            return bool(held)

        await fleet.until(looks_for_the_leader)
        # Its former session still delivers version 3, and then nothing more.
        await fleet.declare(3, {"/moved/": "owned", "/brief/": "shared"})
        await fleet.has_taken(daemon, 3)
        session.silenced_directions = frozenset(Direction)
        await fleet.declare(4, {"/moved/": "shared"})
        proxy.on_flow = lambda flow: None
        for flow in held:
            flow.silenced_directions = frozenset()
        await fleet.has_taken(daemon, 4)
        answer = await fleet.ask("/moved/", KEY, 0)
        assert answer.body.startswith(fleet.targets[1].name.encode()), answer
        statuses = set()

        async def is_sure():
            # Until the leader has answered a report, an unknown route is refused.
            statuses.add((await fleet.ask("/brief/", KEY, 0)).status)
            return statuses != {503}

        await fleet.until(is_sure)
        assert statuses <= {503, 404}, statuses

    run(test, tmp_path)
