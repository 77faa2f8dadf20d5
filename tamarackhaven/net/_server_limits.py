"""Limits of the HTTP servers whose peers aren't callers.

The limits of a configuration bound callers alone. Each other kind of peer has its own
here, so that no order of an operator can shut it out.
"""

from tamarackhaven.routing import Limits

# Room for a heartbeat with each of the 65,536 keys in a row of its own, once among the
# keys that are held and once among those that were released.
MAX_HEARTBEAT_BYTES = 8 << 20
# A configuration with tens of thousands of routes.
MAX_ORDER_BYTES = 64 << 20
MAX_PROBE_BYTES = 64 << 10
MAX_PEER_HEADER_BYTES = 16 << 10
PEER_HEADER_TIMEOUT_S = 3.0
PEER_IDLE_TIMEOUT_S = 15.0


def _peer_limits(max_body_bytes):
    return Limits(
        max_header_bytes=MAX_PEER_HEADER_BYTES,
        max_body_bytes=max_body_bytes,
        header_timeout_s=PEER_HEADER_TIMEOUT_S,
        idle_timeout_s=PEER_IDLE_TIMEOUT_S,
    )


HEARTBEAT_LIMITS = _peer_limits(MAX_HEARTBEAT_BYTES)
ORDER_LIMITS = _peer_limits(MAX_ORDER_BYTES)
# Of readiness checks and of those who read metrics.
PROBE_LIMITS = _peer_limits(MAX_PROBE_BYTES)
