"""Settings files: the examples load, and every kind of mistake is reported."""

import pathlib
import re

import attrs
import pytest

from tamarackhaven._settings import (
    ControlSettings,
    DaemonSettings,
    OperatorSettings,
    PlacementSettings,
)
from tamarackhaven._settings_file import SettingsError, load_settings
from tamarackhaven.errors import ErrorKind, TamarackhavenError

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
CLASS_BY_NAME = {
    "daemon": DaemonSettings,
    "control": ControlSettings,
    "operator": OperatorSettings,
}


@pytest.mark.parametrize("name", CLASS_BY_NAME)
def test_examples_load_and_document_every_setting_with_its_default(name):
    path = EXAMPLES / f"{name}.toml"
    settings = load_settings(path, CLASS_BY_NAME[name])
    lines = path.read_text().splitlines()
    for value in _nested_settings(settings):
        for field in attrs.fields(type(value)):
            number = _line_number_of(lines, field.name)
            before = lines[number - 1]
            assert before.startswith("#") or "#" in lines[number], field.name
            if not attrs.has(field.type) and field.default is not attrs.NOTHING:
                assert getattr(value, field.name) == field.default, field.name


def _nested_settings(settings):
    yield settings
    for value in attrs.asdict(settings, recurse=False).values():
        if attrs.has(type(value)):
            yield from _nested_settings(value)
        elif isinstance(value, list):
            yield from value


def _line_number_of(lines, name):
    starts = (f"{name} =", f"[{name}]", f"[[{name}]]")
    for number, line in enumerate(lines):
        if line.startswith(starts):
            return number
    raise AssertionError(f"{name} is not in the example")


@pytest.mark.parametrize(
    ("text", "kind", "key", "message_part"),
    [
        ("tick_ms = ]\n", "SETTINGS_SYNTAX", "line 1", ""),
        ("tick_sm = 5", "SETTINGS_UNKNOWN_KEY", "tick_sm", "did you mean tick_ms?"),
        (
            "tick_ms = '5'",
            "SETTINGS_WRONG_TYPE",
            "tick_ms",
            "a whole number, not a string",
        ),
        ("tick_ms = true", "SETTINGS_WRONG_TYPE", "tick_ms", "not true or false"),
        ("tick_ms = 5.0", "SETTINGS_WRONG_TYPE", "tick_ms", "whole number"),
        ("tick_ms = 5", "SETTINGS_OUT_OF_RANGE", "tick_ms", ">= 10"),
    ],
)
def test_mistake_is_reported_with_file_and_key(tmp_path, text, kind, key, message_part):
    path = tmp_path / "p.toml"
    path.write_text(text)
    with pytest.raises(TamarackhavenError) as caught:
        load_settings(path, PlacementSettings)
    assert caught.value.kind is ErrorKind[kind]
    for part in (str(path), key, message_part):
        assert part in caught.value.detail


def test_all_problems_are_reported_at_once_with_dotted_keys(tmp_path):
    path = tmp_path / "d.toml"
    text = (EXAMPLES / "daemon.toml").read_text()
    text = text.replace('service = "rota"\n', "")
    text = text.replace("queue_ms = 2000", "queue_ms = -1")
    text = text.replace("lease_port = 7101", 'lease_port = "x"')
    path.write_text(text)
    with pytest.raises(TamarackhavenError) as caught:
        load_settings(path, DaemonSettings)
    assert [problem.key for problem in caught.value.problems] == [
        "service",
        "control[0].lease_port",
        "gate.queue_ms",
    ]
    path.write_text("control = []")
    with pytest.raises(TamarackhavenError, match="control: is out of range"):
        load_settings(path, OperatorSettings)


def test_control_vm_name_must_be_among_its_members(tmp_path):
    path = tmp_path / "c.toml"
    text = (EXAMPLES / "control.toml").read_text()
    path.write_text(re.sub("^name = .*", 'name = "other"', text, count=1, flags=re.M))
    with pytest.raises(TamarackhavenError) as caught:
        load_settings(path, ControlSettings)
    assert caught.value.kind is ErrorKind.SETTINGS_OUT_OF_RANGE
    assert caught.value.detail == (
        f"{path}: name: is out of range: 'other' is not in members"
    )


def test_missing_file_is_reported_with_its_name(tmp_path):
    with pytest.raises(TamarackhavenError) as caught:
        load_settings(tmp_path / "none.toml", OperatorSettings)
    assert caught.value.kind is ErrorKind.SETTINGS_MISSING
    assert "none.toml" in caught.value.detail


def test_renewal_interval_above_a_third_of_the_lease_is_rejected(tmp_path):
    """Otherwise one lost datagram ends the lease, and its shards move needlessly."""
    path = tmp_path / "daemon.toml"
    path.write_text(
        (EXAMPLES / "daemon.toml")
        .read_text()
        .replace("renew_ms = 180", "renew_ms = 200")
    )
    with pytest.raises(SettingsError) as caught:
        load_settings(path, DaemonSettings)
    assert "lease.renew_ms: is out of range" in str(caught.value)
