"""Decision modules get time and randomness as arguments and perform no I/O.

A decision that reads a clock can't be tested at a chosen time, and one that draws its
own random numbers can't be reproduced.
"""

import ast
import pathlib

import pytest

FOLDER = pathlib.Path(__file__).parents[1] / "tamarackhaven"


def _split(text):
    return frozenset(text.split())


FORBIDDEN_IMPORTS = _split(
    "socket select time datetime threading concurrent queue asyncio random logging os "
    "pathlib subprocess http waitress grpclib eliot secrets uuid"
)
DECISION_MODULES = _split(
    "_answer _balance _changes _choice _cold_start _decisions _events _failure_points "
    "_fair_queue _fence_round _fetch_pace _gate _gate_messages _hedge _history "
    "_hot_keys _identify _keys _lease_holder _lease_promises _lease_times _lease_wire "
    "_ledger _limit _locate _members _model _numbers _outliers _pins _placement _plan "
    "_raft _raft_core _raft_election _raft_follower _raft_leader _raft_log "
    "_raft_membership _raft_messages _raft_outbox _raft_progress _raft_reads _request "
    "_resources _retry _retry_after _rules _seams _shared_pool _state _target_loads "
    "_trace _verify errors"
)
# Modules that define or convert data and make no decisions under load.
DATA_MODULES = _split("_codec _settings")


def imported_modules(name):
    """Return the names of all modules that a module imports, also inside functions."""
    modules = set()
    for node in ast.walk(ast.parse((FOLDER / f"{name}.py").read_text())):
        if isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module == "tamarackhaven":
            modules.update(f"tamarackhaven.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            modules.add(node.module)
    return modules


@pytest.mark.parametrize("name", sorted(DECISION_MODULES | DATA_MODULES))
def test_module_imports_no_io_clock_or_randomness(name):
    allowed_modules = DECISION_MODULES | DATA_MODULES
    for module in imported_modules(name):
        package, _, rest = module.partition(".")
        assert package not in FORBIDDEN_IMPORTS, module
        if package == "tamarackhaven":
            assert rest in allowed_modules, (
                f"{name} imports {rest}, which is not on the list"
            )
