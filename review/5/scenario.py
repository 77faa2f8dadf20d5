"""RECOVER: limits for clients' requests keep backends from being found."""

import asyncio
import time

from review.lab import case
from review.lab.http_stub import configuration, route
from review.lab.platform_stub import BOUNDS
from review.lab.server_stub import Server

SERVICES = ["tracker", "tracker", "manifests", "manifests"]
# Clients of this deployment send no bodies at all.
CLIENT_BODY_BYTES = 128
USUAL_BODY_BYTES = 67_108_864
DOWN_S = 0.8
MEASURE_S = 8.0
MIN_SHARE = 0.25


async def served_share(lab, for_s):
    """Send requests to each daemon in turn; return the share that is served."""
    sent = served = 0
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        for host in lab.deployment.hosts:
            for path, key in (
                ("/tracker/x", sent * 977 % 65536),
                ("/manifests/x", None),
            ):
                answer = await lab.caller.ask(host, path, key)
                sent += 1
                served += answer.status == 200
        await asyncio.sleep(0.1)
    lab.record.say("served", sent=sent, served=served)
    return served / sent


def document(version, max_body_bytes):
    """Return the configuration with this limit."""
    services = [{"name": "tracker", "sharded": True, "warmup_s": 2.0}]
    services.append({"name": "manifests"})
    routes = [route("tracker", "tracker"), route("manifests", "manifests")]
    return configuration(version, routes, services, {"max_body_bytes": max_body_bytes})


async def scenario(lab):
    """Return the breaks of the rule."""
    hosts = lab.deployment.hosts
    servers = [
        Server(host, service, lab.record, is_sharded=service == "tracker")
        for host, service in zip(hosts, SERVICES, strict=True)
    ]
    await lab.start(servers, document("r1", USUAL_BODY_BYTES))
    await lab.until_served(hosts[0], "/tracker/x", range(0, 65536, 8192))
    await lab.until_served(hosts[0], "/manifests/x")
    before = await served_share(lab, 5.0)
    limit = CLIENT_BODY_BYTES if lab.has_trouble else USUAL_BODY_BYTES // 2
    status = await lab.operator.order(
        "/api/config/replace", document("r2", limit), "r1"
    )
    lab.record.say("final fault: all processes are killed", acknowledged=status)
    processes = [*lab.deployment.controls, *lab.deployment.daemons]
    for process in processes:
        process.send(9)
    for process in processes:
        process.kill()
    await asyncio.sleep(DOWN_S)
    for process in processes:
        process.start()
    await asyncio.sleep(BOUNDS["recovery_s"])
    after = await served_share(lab, MEASURE_S)
    if status != 200 or before < MIN_SHARE or after >= MIN_SHARE:
        return []
    return [
        f"RECOVER: {after:.0%} of the requests sent later than"
        f" {BOUNDS['recovery_s']} s after the final fault were served, {before:.0%}"
        " before it"
    ]


if __name__ == "__main__":
    case.run(__file__, SERVICES, scenario)
