"""The daemon beside a target.

Routes requests, runs the gate and tells the target which keys to hold.
"""

from tamarackhaven.sidecar._called_holds import GrantOrder, OrderEnd, ReleaseOrder
from tamarackhaven.sidecar._daemon import Daemon
from tamarackhaven.sidecar._dialect import (
    CallerRequest,
    Dialect,
    TargetCall,
    TargetHealth,
    TargetNotice,
    Verdict,
)
from tamarackhaven.sidecar._key_holds import HeartbeatReply
from tamarackhaven.sidecar._target_state import Heartbeat

__all__ = [
    "CallerRequest",
    "Daemon",
    "Dialect",
    "GrantOrder",
    "Heartbeat",
    "HeartbeatReply",
    "OrderEnd",
    "ReleaseOrder",
    "TargetCall",
    "TargetHealth",
    "TargetNotice",
    "Verdict",
]
