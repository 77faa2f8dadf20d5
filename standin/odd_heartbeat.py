"""Heartbeats that another writer sends in the name of a simulated target."""

import json

from standin.call import call
from standin.fleet_target import PORTS

HUGE = (1 << 53) - 1
NESTED_TEXT = "NESTED"
NESTED = "[" * 1020 + "]" * 1020


def odd_heartbeat(target, **fields):
    """Return the body of a heartbeat of ``target`` with other values of some fields.

    The value ``NESTED_TEXT`` stands for deeply nested lists, and None for no field.
    """
    document = {
        "address": target.address,
        "born": target.born_ms,
        "info": {
            "service": target.service,
            "version": "v1",
            "zone": target.zone,
            "max_concurrency": 8,
        },
        "status": {
            "state": "ready",
            "sequence": target.sequence + 1,
            "cold_s_time": 0,
        },
        "active_holds": [],
        "released": [],
    }
    for part in (document, document["info"], document["status"]):
        part.update((key, fields[key]) for key in fields.keys() & part.keys())
        for key in [key for key, value in part.items() if value is None]:
            del part[key]
    return json.dumps(document).replace(f'"{NESTED_TEXT}"', NESTED).encode()


async def write(target, body, name=None, action="heartbeat"):
    """Send a call in the name of a target to the daemon beside it; return the answer.

    ``name`` is the target's by default, ``action`` is ``heartbeat`` or ``leave``.
    """
    path = f"/api/instances/{name or target.name}/{action}"
    headers = [("Host", "x"), ("Content-Type", "application/json")]
    return await call(target.host, PORTS["operators"], "POST", path, headers, body)
