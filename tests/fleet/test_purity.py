"""Decision modules of a fleet do no input or output and read no clock.

Tests couldn't set the time of a decision that reads a clock.
"""

import ast
from pathlib import Path

import pytest

from tests.test_purity import FORBIDDEN_IMPORTS

ROOT = Path(__file__).parents[2] / "tamarackhaven"
PURE = [
    *(f"routing/{name}" for name in ("_model", "_edit", "_match")),
    "net/_body_budget",
    *(
        f"fleet/{name}"
        for name in (
            "_addresses",
            "_directory",
            "_feed",
            "_growth",
            "_member_silence",
            "_joining",
            "_lasting_limits",
            "_leadership",
            "_leases",
            "_leaving",
            "_model",
            "_open_changes",
            "_placement",
            "_ranges",
            "_sessions",
            "_state",
            "_suspects",
            "_trials",
        )
    ),
    *(
        f"sidecar/{name}"
        for name in (
            "_arrivals",
            "_budget",
            "_called_holds",
            "_choice",
            "_cold_starts",
            "_draining",
            "_final_refusals",
            "_gate",
            "_heartbeat_order",
            "_key_holds",
            "_key_load",
            "_known_targets",
            "_named_limit",
            "_notice_memory",
            "_offers",
            "_open_requests",
            "_rate_limit",
            "_request_digest",
            "_suspects",
            "_target_state",
            "_view_lag",
            "_view_reports",
        )
    ),
]
NO_INPUT_EITHER = {
    "tamarackhaven._clock",
    "tamarackhaven._files",
    "tamarackhaven._loop",
}


@pytest.mark.parametrize("name", PURE)
def test_a_decision_module_of_a_fleet_is_pure(name):
    tree = ast.parse((ROOT / f"{name}.py").read_text())
    for node in ast.walk(tree):
        modules = []
        if isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            modules = [node.module]
        for module in modules:
            assert module.partition(".")[0] not in FORBIDDEN_IMPORTS, module
            assert module not in NO_INPUT_EITHER, module
