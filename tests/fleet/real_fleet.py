"""Runs a test with a fleet of real processes, and always stops them."""

import asyncio

from soak._proxy import Proxy
from standin.fleet import Fleet
from standin.fleet_target import PORTS

LISTEN_OFFSET = 10


class ProxiedFleet(Fleet):
    """A fleet with a proxy in front of each control VM's links."""

    def __init__(self, *settings):
        self.proxies = []
        super().__init__(*settings)

    def _control(self, host, seeds, is_first=True):
        process = super()._control(host, seeds, is_first)
        port = PORTS["links"]
        self.proxies.append(Proxy((host, port), (host, port + LISTEN_OFFSET)))
        listen = f'links_listen = "{host}:{port + LISTEN_OFFSET}"\n'
        process.write(listen + process.settings)
        return process

    async def replace_with_proxy(self, number, seed_hosts, on_flow=None):
        """Replace a control VM as ``replace_control`` does; return the new one's proxy.

        ``on_flow`` is called for each connection to it.
        """
        await asyncio.to_thread(self.replace_control, number, seed_hosts)
        proxy = self.proxies[-1]
        if on_flow is not None:
            proxy.on_flow = on_flow
        await proxy.start()
        return proxy

    async def start(self):
        for proxy in self.proxies:
            await proxy.start()
        await super().start()

    async def stop(self):
        await super().stop()
        for proxy in self.proxies:
            await proxy.stop()


def run(test, fleet_settings, fleet_class=Fleet):
    """Start ``fleet_class(*fleet_settings)`` and await ``test(fleet)``."""

    async def main():
        fleet = fleet_class(*fleet_settings)
        try:
            await fleet.start()
            await test(fleet)
        finally:
            await fleet.stop()

    asyncio.run(main())
