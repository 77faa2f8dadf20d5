"""The daemon beside a target: callers' requests, the gate, the target's keys."""

from tamarackhaven.sidecar._daemon import Daemon
from tamarackhaven.sidecar._dialect import CallerRequest, Dialect, Verdict
from tamarackhaven.sidecar._target_state import Heartbeat, HeartbeatReply

__all__ = [
    "CallerRequest",
    "Daemon",
    "Dialect",
    "Heartbeat",
    "HeartbeatReply",
    "Verdict",
]
