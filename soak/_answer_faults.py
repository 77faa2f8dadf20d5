"""Targets that reject requests, give answers twice or with a status that is none."""

import asyncio
import random

from soak._faults import Fault, inject
from standin.fleet_target import ODD_STATUS_LINES

ANSWER_FAULT_COUNT = 4
MIN_DURATION_S = 3.0
MAX_DURATION_S = 8.0
REJECTED_FRACTION = 0.2
TWICE_FRACTION = 0.5
ODD_STATUS_FRACTION = 0.1


class RepeatAnswers(Fault):
    """Makes a target reject some requests, and give some answers twice or oddly."""


@inject.register
async def _(fault: RepeatAnswers, fleet):
    target = fleet.target_vm(fault.selector).target
    rng = random.Random(fault.selector)
    target.rejects = lambda attempt: rng.random() < REJECTED_FRACTION
    target.gives_twice = lambda attempt: rng.random() < TWICE_FRACTION
    target.odd_status_line = lambda: (
        rng.choice(ODD_STATUS_LINES) if rng.random() < ODD_STATUS_FRACTION else None
    )
    await asyncio.sleep(fault.duration_s)
    target.rejects = target.gives_twice = lambda attempt: False
    target.odd_status_line = lambda: None


def draw_answer_faults(seed, seconds):
    """Return the repeated answers of a run; they have their own generator."""
    rng = random.Random(f"answers {seed}")
    faults = []
    for _ in range(ANSWER_FAULT_COUNT):
        at_s = round(rng.uniform(0.0, seconds), 3)
        duration_s = round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 3)
        faults.append(RepeatAnswers(at_s, rng.randrange(1 << 30), duration_s))
    return faults
