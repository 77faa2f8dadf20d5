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


def test_the_lines_of_a_request_come_in_order_from_all_processes():
    found = trace(read_lines(reversed(LOGS)), "x")
    assert [line.sentence for line in found] == ["gate: not run", "caller: refused"]
    assert "kind=FULL" in found[0].text


def test_what_happened_around_it_is_shown_on_demand():
    found = trace(read_lines(LOGS), "x", with_near=True)
    assert [line.vm for line in found] == ["c", "b", "a"]


def test_the_command_prints_them(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOGS))
    main(["trace", "x", str(log)])
    assert capsys.readouterr().out.count("\n") == 2


def test_an_unknown_request_is_an_error_with_a_code(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOGS))
    with pytest.raises(SystemExit) as stopped:
        main(["trace", "z", str(log)])
    assert stopped.value.code != 0
    assert "NOT_FOUND" in capsys.readouterr().err
