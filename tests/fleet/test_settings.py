"""Settings of a fleet: examples, the platform's templates, and invalid values."""

import re
from pathlib import Path

import attrs
import pytest

from tamarackhaven._settings_file import load_settings
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet import DaemonSettings, FleetControlSettings, FleetLeaseSettings

ROOT = Path(__file__).parents[2]
CLASS_BY_ROLE = {"daemon": DaemonSettings, "control": FleetControlSettings}


def keys(settings_class):
    for field in attrs.fields(settings_class):
        yield field.name
        if attrs.has(field.type):
            yield from keys(field.type)


@pytest.mark.parametrize("role", CLASS_BY_ROLE)
def test_the_example_loads_and_comments_every_key(role):
    path = ROOT / "examples" / f"fleet-{role}.toml"
    load_settings(path, CLASS_BY_ROLE[role])
    lines = path.read_text().splitlines()
    for key in keys(attrs.resolve_types(CLASS_BY_ROLE[role])):
        number = next(
            n
            for n, line in enumerate(lines)
            if line.startswith((f"{key} =", f"[{key}]"))
        )
        assert lines[number - 1].startswith("#"), key


@pytest.mark.parametrize("role", CLASS_BY_ROLE)
def test_the_operators_page_names_every_key(role):
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for key in keys(attrs.resolve_types(CLASS_BY_ROLE[role])):
        assert f"`{key}`" in page, key


def filled(template):
    """Return a template with its placeholders filled in as by the platform."""
    text = re.sub(
        r"\{\{#seed_addrs\}\}.*?\{\{/seed_addrs\}\}", '"10.0.0.1:80"', template
    )
    text = re.sub(
        r"\{\{#([a-z_.]+)\}\}(.*?)\{\{\.\}\}(.*?)\{\{/\1\}\}",
        r"\g<2>1\3",
        text,
        flags=re.S,
    )
    text = text.replace("{{bootstrap}}", "true")
    text = text.replace("{{ip}}", "10.0.0.1").replace("{{internal_ports.0}}", "7600")
    text = re.sub(r"\{\{(listen|app_addr)[a-z_.]*\}\}", "10.0.0.1:80", text)
    return re.sub(r"\{\{[a-z_.]+\}\}", "text", text)


@pytest.mark.parametrize("role", CLASS_BY_ROLE)
def test_the_platforms_template_gives_settings_that_load(role, tmp_path):
    template = (ROOT / "deploy" / f"{role}.toml.template").read_text()
    path = tmp_path / "settings.toml"
    path.write_text(filled(template))
    settings = load_settings(path, CLASS_BY_ROLE[role])
    assert settings.seeds == ["10.0.0.1:80"]


@pytest.mark.parametrize(
    ("old", "new", "kind", "key"),
    [
        ("grace_s = 6.0", "grace_s = 0.1", "SETTINGS_OUT_OF_RANGE", "grace_s"),
        ("grace_s = 6.0", 'grace_s = "6"', "SETTINGS_WRONG_TYPE", "grace_s"),
        ("grace_s = 6.0", "grace_ss = 6.0", "SETTINGS_UNKNOWN_KEY", "grace_ss"),
        (
            'target = "127.0.2.1:8628"',
            'target = "here"',
            "SETTINGS_OUT_OF_RANGE",
            "target",
        ),
        ('zone = "north-a"', "", "SETTINGS_MISSING", "zone"),
        ('zone = "north-a"', "zone = ", "SETTINGS_SYNTAX", "line"),
    ],
)
def test_the_error_of_an_invalid_file_names_file_and_key(tmp_path, old, new, kind, key):
    path = tmp_path / "daemon.toml"
    text = (ROOT / "examples" / "fleet-daemon.toml").read_text()
    assert old in text
    path.write_text(text.replace(old, new))
    with pytest.raises(TamarackhavenError) as caught:
        load_settings(path, DaemonSettings)
    assert caught.value.kind is ErrorKind[kind]
    assert str(path) in str(caught.value) and key in str(caught.value)


def test_a_lease_survives_two_lost_heartbeats_and_never_exceeds_the_longest_hold():
    assert FleetLeaseSettings(heartbeat_s=1.0).lease_s > 3 * 1.0
    assert FleetLeaseSettings(heartbeat_s=9.0, longest_hold_s=10).lease_s == 10
