"""Runs a case: exit code 1 if a rule was broken, 0 if it held, 2 if it couldn't run."""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path

from review.lab.http_stub import Caller, Operator, Readiness
from review.lab.platform_stub import Deployment, Record, Unusable

MAX_RUN_S = 115.0


class Lab:
    """What a case works with.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption is to happen.
    """

    def __init__(self, record, deployment):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.deployment = deployment
        self.caller = Caller(record)
        self.operator = Operator(deployment.control_hosts, record)
        self.readiness = Readiness(deployment.hosts, record)
        self.servers = []
        self._tasks = []

    def begin(self, coroutine):
        """Run a coroutine until the case ends."""
        self._tasks.append(asyncio.create_task(coroutine))

    async def start(self, servers, document):
        """Start processes and backends, configure them, and check readiness."""
        self.servers = servers
        self.deployment.start()
        for server in servers:
            await server.start()
        status = await self.operator.order("/api/config/replace", document, "r0")
        if status != 200:
            raise Unusable(f"the first configuration was answered with {status}")
        self.begin(self.readiness.run())

    async def until_served(self, host, path, keys=(None,), method="GET", for_s=25.0):
        """Wait until a daemon serves requests for all keys."""
        until_s = time.monotonic() + for_s
        while True:
            answers = [
                await self.caller.ask(host, path, key, method=method) for key in keys
            ]
            if all(answer.status == 200 for answer in answers):
                return
            if time.monotonic() > until_s:
                raise Unusable(f"{path} at {host} isn't served before the trouble")
            await asyncio.sleep(0.2)

    async def stop(self):
        """End all that this case started."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            await server.stop()
        self.deployment.stop()


def run(file, services, scenario, zones=None):
    """Run ``scenario(lab)``, which returns the breaks that it saw; exit."""
    record = Record(Path(file).parent / "record.txt")
    try:
        code = asyncio.run(_run(record, services, scenario, zones))
    except (Unusable, OSError, TimeoutError) as error:
        traceback.print_exc()
        record.say("could not run", detail=repr(error))
        print("could not run:", error)
        code = 2
    sys.exit(code)


async def _run(record, services, scenario, zones):
    lab = Lab(record, Deployment(services, zones))
    record.say("begins", trouble=lab.has_trouble)
    try:
        async with asyncio.timeout(MAX_RUN_S):
            breaks = await scenario(lab)
    finally:
        await lab.stop()
    for each in breaks:
        print("broken:", each)
    if not breaks:
        print("held")
    record.say("ends", breaks=breaks)
    return 1 if breaks else 0
