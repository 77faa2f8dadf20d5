"""Tests of counting, from logs, the targets that ended under each request."""

import json

import pytest

from tamarackhaven.__main__ import main
from tamarackhaven._ends import ends
from tamarackhaven._trace import read_lines


def line(sentence, at, request_id="", **fields):
    return json.dumps(
        {"vm": "a", "sentence": sentence, "at": at, "request_id": request_id, **fields}
    )


def sent(at, attempt_id, digest, end):
    return line(
        "caller: ended",
        at,
        attempt_id,
        request=digest,
        end=end,
        service="s",
        route="r",
    )


LOGS = [
    sent(1.0, "a1", "bad", "Lost"),
    sent(1.1, "a1", "bad", "Lost"),
    sent(1.2, "a2", "bad", "Lost"),
    sent(1.3, "b1", "good", "Lost"),
    sent(1.4, "b1", "good", "Answered"),
    line("gate: target ended", 1.0, life="i@1", requests=[["a1", "bad"]]),
    line("gate: target ended", 1.0, life="i@1", requests=[["a1", "bad"]]),
    line(
        "gate: target ended", 1.1, life="j@1", requests=[["a1", "bad"], ["b1", "good"]]
    ),
    line("gate: target ended", 1.2, life="k@1", requests=[["a2", "bad"]]),
]


def test_a_request_counts_the_lives_that_ended_while_they_ran_it():
    bad, good = ends(read_lines(LOGS))
    assert (bad.digest, bad.ends, bad.answers, bad.attempts) == ("bad", 3, 0, 2)
    assert (good.digest, good.ends, good.answers, good.attempts) == ("good", 1, 1, 1)
    assert (bad.service, bad.route, bad.attempt_id) == ("s", "r", "a2")


def test_the_command_prints_requests_with_several_ends(tmp_path, capsys):
    log = tmp_path / "log"
    log.write_text("\n".join(LOGS))
    with pytest.raises(SystemExit) as exited:
        main(["ends", str(log)])
        raise SystemExit(0)
    assert exited.value.code == 0
    (row,) = capsys.readouterr().out.splitlines()
    columns = ("bad", "3", "ends", "0", "answers", "2", "attempts", "s", "r", "a2")
    assert tuple(row.split()) == columns
