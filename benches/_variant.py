"""Runs the program with one mechanism disabled, to measure its effect.

Usage: ``python benches/_variant.py NAME ...``, followed by the program's arguments.
"""

import pathlib
import runpy
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from tamarackhaven._owner_route import OwnerRoute  # noqa: E402
from tamarackhaven._shared_pool import SharedPool  # noqa: E402


def _random_target(pool, members, slots, now, rng, tried=()):
    """Return a random target that was not tried, or None."""
    untried = [member for member in members if member.target not in tried]
    return rng.choice(untried) if untried else None


def _no_choice():
    SharedPool.choose = _random_target
    _no_hedge()


def _no_hedge():
    SharedPool.hedge_delay_s = lambda pool, idempotent: None


def _no_watch():
    OwnerRoute._forward = lambda route, request, located, gone: (
        route._forwarder.forward(request, located, gone)
    )


PATCH_BY_VARIANT = {
    "whole": lambda: None,
    "no-hedge": _no_hedge,
    "no-choice": _no_choice,
    "no-watch": _no_watch,
}


if __name__ == "__main__":
    PATCH_BY_VARIANT[sys.argv.pop(1)]()
    runpy.run_module("tamarackhaven", run_name="__main__", alter_sys=True)
