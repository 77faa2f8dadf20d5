"""Runs a test with a fleet of real processes, and always stops them."""

import asyncio

from standin.fleet import Fleet


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
