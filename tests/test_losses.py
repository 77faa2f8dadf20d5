"""Tests of counting the ends of attempts from the logs of several processes."""

import json

import pytest

from tamarackhaven import _losses
from tamarackhaven.__main__ import main
from tamarackhaven._losses import losses
from tamarackhaven._trace import read_lines


def line(request_id, sentence, at, **fields):
    return json.dumps(
        {"vm": "a", "sentence": sentence, "at": at, "request_id": request_id, **fields}
    )


def answered(request_id, at, after_s, waited_s=0.0, worked_s=0.1, status="200"):
    return line(
        request_id,
        "caller: ended",
        at,
        route="r",
        end="Answered",
        kind=status,
        after_s=after_s,
        objective_s=0.5,
        waited_s=waited_s,
        worked_s=worked_s,
    )


LOGS = [
    answered("fast", 1.0, 0.2),
    answered("slow", 1.0, 0.9, worked_s=0.8),
    answered("queued", 1.0, 0.9, waited_s=0.6, worked_s=0.2),
    answered("moved", 1.0, 0.9, worked_s=0.2),
    answered("broken", 1.0, 0.2, status="500"),
    line("full", "caller: ended", 1.0, route="r", end="NotRun", kind="QUEUE_FULL"),
    line("full", "caller: refused", 1.1, route="r", kind="QUEUE_FULL"),
    line("full", "gate: not run", 1.0, route="r", kind="QUEUE_FULL"),
    "no line",
]


def test_each_attempt_counts_once_by_its_end():
    found = {loss.end: loss.count for loss in losses(read_lines(LOGS))}
    assert found == {
        _losses.IN_TIME: 1,
        _losses.LATE_WORKING: 1,
        _losses.LATE_WAITING: 1,
        _losses.LATE_BEFORE: 1,
        _losses.FAILED: 1,
        "refused: QUEUE_FULL": 1,
    }


def test_the_parts_of_a_route_add_up_to_one():
    parts = [loss.part for loss in losses(read_lines(LOGS))]
    assert sum(parts) == pytest.approx(1.0)


def test_a_retried_attempt_counts_by_its_last_end():
    logs = [answered("x", 1.0, 0.1, status="500"), answered("x", 1.2, 0.3)]
    (loss,) = losses(read_lines(reversed(logs)))
    assert loss.end == _losses.IN_TIME


def test_the_command_prints_one_line_per_end(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOGS))
    main(["losses", str(log)])
    assert capsys.readouterr().out.count("\n") == 6
