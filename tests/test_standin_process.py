"""The launcher of real processes reads their logs."""

from standin.process import Process

CUT_LINE = '{"vm":"a","sentence":"daemon: conf'


def test_a_line_that_a_killed_process_had_half_written_stands_alone(tmp_path):
    # Guards against: the next run's first line is appended to it, and a reader fails.
    process = Process("daemon", "a", "unknown = 1\n", tmp_path)
    (tmp_path / "a.log").write_text(CUT_LINE)
    assert process.lines == [{"text": CUT_LINE}]
    process.start()
    process.wait(20.0)
    first, *rest = process.lines
    assert first == {"text": CUT_LINE}
    assert rest
