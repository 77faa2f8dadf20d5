"""Log lines: prefix, ids, and the limit on repeated sentences."""

import json

from tamarackhaven._eliot_lines import open_logs
from tamarackhaven._logs import REPEAT_WINDOW_S, Log
from tamarackhaven._settings import LogSettings


def test_line_is_json_with_prefix_and_ids(tmp_path):
    close = open_logs(LogSettings(file="logs/d.log"), tmp_path)
    Log("path").part("gate").say("full", "r1", "r1.7", waiting=3)
    close()
    Log("gate").say("written after close")
    (line,) = (tmp_path / "logs/d.log").read_text().splitlines()
    actual = json.loads(line)
    expected = {
        "sentence": "gate: full",
        "request_id": "r1",
        "decision_id": "r1.7",
        "waiting": 3,
        "message_type": "tamarackhaven:gate",
    }
    assert {name: actual[name] for name in expected} == expected


def test_lines_above_the_repeat_limit_are_dropped_and_counted():
    """While a target is down, thousands of requests a second may be refused.

    Each refusal logs the same sentence. At most ``repeats_per_minute`` such lines, here
    3, are written per minute. Other sentences are not affected, and the first line of
    the next minute reports how many were dropped.
    """
    now = [0.0]
    lines = []
    log = Log("gate", 3, lambda: now[0], lambda **fields: lines.append(fields))
    for number in range(1000):
        log.say("full", f"r{number}")
    log.say("other")
    now[0] = REPEAT_WINDOW_S
    log.say("full", "late")
    assert [line["sentence"] for line in lines] == ["gate: full"] * 3 + [
        "gate: other",
        "gate: full",
    ]
    assert lines[-1]["dropped_before"] == 997
    assert "dropped_before" not in lines[0]
