"""Tracing a request by its id through the logs of several processes."""

import pytest

from tamarackhaven.__main__ import main
from tamarackhaven._trace import read_lines, trace

LOGS = [
    '{"vm":"b","sentence":"gate: not run","kind":"FULL","request_id":"x","at":2.0}',
    '  0.1 a {"vm":"a","sentence":"caller: refused","request_id":"x","at":2.1}',
    '{"vm":"c","sentence":"control: leads","term":3,"at":1.0}',
    '{"vm":"c","sentence":"control: leads","term":9,"at":99.0}',
    '{"vm":"a","sentence":"caller: refused","request_id":"y","at":2.0}',
    "not a line",
    '{"vm":1}',
    "{broken",
]


def test_trace_returns_lines_of_all_processes_in_order_of_time():
    lines = trace(read_lines(reversed(LOGS)), "x")
    assert [line.sentence for line in lines] == ["gate: not run", "caller: refused"]
    assert "kind=FULL" in lines[0].text


def test_trace_includes_nearby_lines_on_demand():
    lines = trace(read_lines(LOGS), "x", include_nearby=True)
    assert [line.vm for line in lines] == ["c", "b", "a"]


def test_trace_command_prints_the_lines(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOGS))
    main(["trace", "x", str(log)])
    assert capsys.readouterr().out.count("\n") == 2


def test_trace_of_an_unknown_request_fails_with_not_found(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOGS))
    with pytest.raises(SystemExit) as stopped:
        main(["trace", "z", str(log)])
    assert stopped.value.code != 0
    assert "NOT_FOUND" in capsys.readouterr().err
