"""The random choice of a soak run's faults from its seed."""

import random

from soak._faults import (
    CrashTarget,
    CutControl,
    Delay,
    DrainTarget,
    DropAllBytes,
    DropResponses,
    EvacuateZone,
    Kill,
    KillAllControls,
    LeaveByAnswers,
    LimitBandwidth,
    LoseUpdates,
    NameLimits,
    ReloadSettings,
    ReplaceControl,
    ResetConnections,
    RestartDaemon,
    SendPoison,
    SplitControls,
    StallDisk,
    Starve,
    Suspend,
    SuspendLeader,
    SwitchConnections,
    TornWrite,
    WipeDisk,
    WipePair,
)

# Faults may last longer than the interval between them, so that they overlap.
MAX_INTERVAL_S = 1.2
MAX_DURATION_S = 3.0
BANDWIDTH_FAULT_COUNT = 4
MIN_SWITCH_S = 3.0
MAX_SWITCH_S = 4.5
# Fraction of switches during which a process is suspended, and for how long.
SUSPEND_FRACTION = 0.4
MAX_SUSPEND_S = 1.5
# Longer than the time after which a silent control VM is replaced.
MAX_CUT_S = 4.0
LOST_UPDATE_FAULT_COUNT = 3
MAX_LOST_UPDATES_S = 5.0
LIMIT_FAULT_COUNT = 4
LEAVING_FAULT_COUNT = 2
POISON_COUNT = 3
MAX_POISON_PAUSE_S = 6.0
MIN_POISON_DURATION_S = 4.0
MAX_POISON_DURATION_S = 9.0
MIN_LIMIT_DURATION_S = 2.0
MAX_LIMIT_DURATION_S = 7.0

_WEIGHT_BY_KIND = {
    Kill: 4,
    Suspend: 3,
    RestartDaemon: 3,
    ReloadSettings: 1,
    WipeDisk: 1,
    TornWrite: 1,
    KillAllControls: 1,
    Delay: 2,
    ResetConnections: 3,
    DropAllBytes: 2,
    DropResponses: 2,
    CrashTarget: 3,
    DrainTarget: 2,
    EvacuateZone: 1,
}


_KINDS_BESIDE_POISONS = (
    CrashTarget,
    DrainTarget,
    DropAllBytes,
    Kill,
    KillAllControls,
    ResetConnections,
    RestartDaemon,
    SuspendLeader,
)


def draw_faults(seed, seconds):
    """Return the faults of a run, in order of time."""
    rng = random.Random(seed)
    kinds = list(_WEIGHT_BY_KIND)
    weights = list(_WEIGHT_BY_KIND.values())
    faults = []
    at_s = 0.0
    while True:
        at_s += rng.uniform(0.0, MAX_INTERVAL_S)
        if at_s >= seconds:
            return faults
        (kind,) = rng.choices(kinds, weights)
        duration_s = rng.uniform(0.1, MAX_DURATION_S)
        faults.append(
            kind(round(at_s, 3), rng.randrange(1 << 30), round(duration_s, 3))
        )


def draw_control_faults(seed, seconds):
    """Return the faults of a run that affect control VMs only.

    They have their own random generator, so that the faults of ``draw_faults`` stay the
    same for seeds that once failed.
    """
    rng = random.Random(f"replacement {seed}")
    at_s = round(rng.uniform(0.0, seconds), 3)
    faults = [ReplaceControl(at_s, rng.randrange(1 << 30), 0.0)]
    for kind in (StallDisk, StallDisk, SuspendLeader, SuspendLeader):
        at_s = round(rng.uniform(0.0, seconds), 3)
        duration_s = round(rng.uniform(0.5, MAX_DURATION_S), 3)
        faults.append(kind(at_s, rng.randrange(1 << 30), duration_s))
    return faults


def draw_group_faults(seed, seconds):
    """Return lost disks and cuts of control VMs; they have their own generator."""
    rng = random.Random(f"group {seed}")
    faults = []
    for kind in (WipePair, WipeDisk, CutControl, CutControl, SplitControls):
        at_s = round(rng.uniform(0.0, seconds), 3)
        duration_s = round(rng.uniform(0.5, MAX_CUT_S), 3)
        faults.append(kind(at_s, rng.randrange(1 << 30), duration_s))
    return faults


def draw_group_run_faults(seed, seconds):
    """Return the faults of a run that is about the control group."""
    faults = [
        *draw_control_faults(seed, seconds),
        *draw_group_faults(seed, seconds),
        *draw_group_faults(f"more {seed}", seconds),
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_link_faults(seed, seconds):
    """Return the bandwidth faults of a run; they also have their own generator."""
    rng = random.Random(f"narrow {seed}")
    faults = []
    for _ in range(BANDWIDTH_FAULT_COUNT):
        at_s = round(rng.uniform(0.0, seconds), 3)
        duration_s = round(rng.uniform(1.0, MAX_DURATION_S), 3)
        faults.append(LimitBandwidth(at_s, rng.randrange(1 << 30), duration_s))
    return faults


def draw_session_faults(seed, seconds):
    """Return the faults of a run in which daemons change their sessions only.

    No process ends, since a restarted daemon has a view that is right again. Processes
    are suspended while connections are switched.
    """
    rng = random.Random(f"sessions {seed}")
    faults = []
    at_s = 0.0
    while at_s < seconds:
        duration_s = round(rng.uniform(MIN_SWITCH_S, MAX_SWITCH_S), 3)
        faults.append(
            SwitchConnections(round(at_s, 3), rng.randrange(1 << 30), duration_s)
        )
        if rng.random() < SUSPEND_FRACTION:
            kind = rng.choice((Suspend, SuspendLeader))
            suspended_s = round(at_s + rng.uniform(0.0, duration_s), 3)
            duration_s = round(rng.uniform(0.1, MAX_SUSPEND_S), 3)
            faults.append(kind(suspended_s, rng.randrange(1 << 30), duration_s))
        at_s += MAX_SWITCH_S + rng.uniform(0.0, MAX_INTERVAL_S)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_update_faults(seed, seconds):
    """Return the losses of updates and the starved daemons of a run.

    They have their own generator.
    """
    rng = random.Random(f"updates {seed}")
    kinds = [LoseUpdates] * LOST_UPDATE_FAULT_COUNT + [Starve]
    faults = []
    for kind in kinds:
        at_s = round(rng.uniform(0.0, seconds), 3)
        duration_s = round(rng.uniform(1.0, MAX_LOST_UPDATES_S), 3)
        faults.append(kind(at_s, rng.randrange(1 << 30), duration_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_notice_faults(seed, seconds):
    """Return the limits and leavings of targets; they have their own generator."""
    rng = random.Random(f"notices {seed}")
    kinds = [NameLimits] * LIMIT_FAULT_COUNT + [LeaveByAnswers] * LEAVING_FAULT_COUNT
    faults = []
    for kind in kinds:
        at_s = round(rng.uniform(0.0, seconds), 3)
        duration_s = rng.uniform(MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S)
        faults.append(kind(at_s, rng.randrange(1 << 30), round(duration_s, 3)))
    return faults


def draw_poison_faults(seed, seconds):
    """Return the requests that end targets; they have their own generator."""
    rng = random.Random(f"poisons {seed}")
    faults = []
    for _ in range(POISON_COUNT):
        at_s = round(rng.uniform(0.0, seconds - MIN_POISON_DURATION_S), 3)
        duration_s = rng.uniform(MIN_POISON_DURATION_S, MAX_POISON_DURATION_S)
        faults.append(SendPoison(at_s, rng.randrange(1 << 30), round(duration_s, 3)))
    return faults


def draw_poison_run_faults(seed, seconds):
    """Return the faults of a run that is about requests that end targets.

    The requests are sent all the while, beside a few faults with pauses between them.
    """
    rng = random.Random(f"poison run {seed}")
    faults = [
        SendPoison(0.0, rng.randrange(1 << 30), seconds) for _ in range(POISON_COUNT)
    ]
    at_s = 0.0
    while (at_s := at_s + rng.uniform(1.0, MAX_POISON_PAUSE_S)) < seconds:
        kind = rng.choice(_KINDS_BESIDE_POISONS)
        duration_s = round(rng.uniform(0.1, MAX_DURATION_S), 3)
        faults.append(kind(round(at_s, 3), rng.randrange(1 << 30), duration_s))
    return faults
