"""The program with one decision taken out, to measure what that decision is worth.

Usage: ``python benches/_variant.py NAME ...`` with the program's own words after it.
"""

import pathlib
import runpy
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from tamarackhaven._owner_route import OwnerRoute  # noqa: E402
from tamarackhaven._shared_pool import SharedPool  # noqa: E402


def _any_target(pool, members, slots, now, rng, tried=()):
    """Return any target that was not tried."""
    free = [member for member in members if member.target not in tried]
    return rng.choice(free) if free else None


def _no_choice():
    SharedPool.choose = _any_target
    _no_hedge()


def _no_hedge():
    SharedPool.hedge_delay_s = lambda pool, idempotent: None


def _no_watch():
    OwnerRoute._forward = lambda route, request, located, gone: (
        route._forwarder.forward(request, located, gone)
    )


CHANGE_BY_NAME = {
    "whole": lambda: None,
    "no-hedge": _no_hedge,
    "no-choice": _no_choice,
    "no-watch": _no_watch,
}


if __name__ == "__main__":
    CHANGE_BY_NAME[sys.argv.pop(1)]()
    runpy.run_module("tamarackhaven", run_name="__main__", alter_sys=True)
