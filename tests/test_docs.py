"""Tests that docs/OPERATING.md covers all settings, commands, metrics and errors.

They also check that links and module names in all pages resolve.

The table of errors is between two markers; UPDATE_GOLDEN=1 regenerates it.
"""

import ast
import inspect
import os
import pathlib
import re
import typing

import attrs
import pytest

from tamarackhaven import _settings
from tamarackhaven.__main__ import COMMANDS
from tamarackhaven._metrics import Metrics
from tamarackhaven.errors import ANSWER_BY_KIND, ErrorKind

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs" / "OPERATING.md"
TABLE_START, TABLE_END = "<!-- errors -->\n", "<!-- end of errors -->"
UNIT_BY_SUFFIX = {
    "ms": "ms",
    "s": "s",
    "bytes": "bytes",
    "entries": "entries",
    "requests": "requests",
    "connections": "connections",
    "share": "part of 1",
    "drift": "part of 1",
    "imbalance": "part of 1",
}
NAME_BY_TYPE = {str: "text", int: "whole number", float: "number", bool: "true, false"}
METRIC = re.compile(r"tamarackhaven_[a-z_]+")


def error_table():
    """Return the Markdown table of errors, one row per error kind."""
    lines = [
        "| Code | Name | HTTP | Exit | Ran | Repeat | Sentence |",
        "|---|---|---|---|---|---|---|",
    ]
    for kind in ErrorKind:
        row = ANSWER_BY_KIND[kind]
        cells = (kind.value, kind.name, row.http_status, row.exit_code)
        cells += (row.ran.value, row.repeat.value, row.sentence)
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines) + "\n"


def _flat_validators(validator):
    parts = getattr(validator, "_validators", None)
    if parts is None:
        return [validator]
    return [nested for part in parts for nested in _flat_validators(part)]


def _bound(field, sign):
    for validator in _flat_validators(field.validator):
        if getattr(validator, "compare_op", "") == sign:
            return validator.bound
    return None


def _default(field):
    if field.default is attrs.NOTHING:
        return "none"
    if isinstance(field.default, attrs.Factory):
        return "its own"
    if field.type is bool:
        return str(field.default).lower()
    return str(field.default) if field.default != "" else "empty"


def setting_row_start(field):
    """Return the start of a setting's table row, without the description."""
    minimum, maximum = _bound(field, ">="), _bound(field, "<=")
    if minimum is not None:
        values = f"{minimum} to {maximum}"
    elif typing.get_origin(field.type) is list:
        values = "list of tables"
    else:
        values = NAME_BY_TYPE.get(field.type, "table")
    unit = UNIT_BY_SUFFIX.get(field.name.rpartition("_")[2], "")
    return f"| `{field.name}` | {unit} | {values} | {_default(field)} |"


def settings_classes():
    """Return every settings class."""
    classes = inspect.getmembers(_settings, inspect.isclass)
    return [cls for _, cls in classes if cls.__module__ == _settings.__name__]


def metric_names():
    """Return all metric names in the code, including those composed at run time."""
    names = set(METRIC.findall(Metrics().page()))
    prefixes = set()
    for path in (ROOT / "tamarackhaven").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.JoinedStr):
                first = node.values[0]
                text = first.value if isinstance(first, ast.Constant) else ""
                prefixes.update(METRIC.findall(str(text)))
            elif isinstance(node, ast.Constant) and isinstance(node.value, str):
                names.update([node.value] if METRIC.fullmatch(node.value) else [])
    for prefix in prefixes:
        names.discard(prefix)
        names.update(prefix + name for name in _gauge_names(prefix))
    return names


def _gauge_names(prefix):
    module, function = {
        "tamarackhaven_gate_": ("_admit", "gauges"),
        "tamarackhaven_control_": ("_control", "_gauges"),
    }[prefix]
    tree = ast.parse((ROOT / "tamarackhaven" / f"{module}.py").read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef) and node.name == function:
            table = next(item for item in ast.walk(node) if isinstance(item, ast.Dict))
            return [key.value for key in table.keys]
    raise AssertionError(f"{module}.{function} not found")


@pytest.fixture(scope="module")
def page():
    return PAGE.read_text()


def test_error_table_matches_the_code(page):
    head, _, rest = page.partition(TABLE_START)
    table, _, tail = rest.partition(TABLE_END)
    if os.environ.get("UPDATE_GOLDEN"):
        PAGE.write_text(head + TABLE_START + error_table() + TABLE_END + tail)
        return
    assert table == error_table()


def test_every_setting_is_documented_with_its_range_and_default(page):
    missing = [
        f"{settings_class.__name__}: {setting_row_start(field)}"
        for settings_class in settings_classes()
        for field in attrs.fields(attrs.resolve_types(settings_class))
        if setting_row_start(field) not in page
    ]
    assert not missing, missing


def test_every_command_has_a_section_that_names_all_its_options(page):
    assert "`--version`" in page
    for command in COMMANDS:
        name = command.__name__.replace("_", "-")
        section = page.partition(f"\n### `{name}`")[2].partition("\n### ")[0]
        assert section, name
        for operand, parameter in inspect.signature(command).parameters.items():
            is_option = parameter.kind is inspect.Parameter.KEYWORD_ONLY
            documented_name = (
                "--" + operand.replace("_", "-") if is_option else operand.upper()
            )
            assert documented_name in section, (name, documented_name)


def test_documented_metrics_match_the_code(page):
    named = set(METRIC.findall(page))
    assert not metric_names() - named, metric_names() - named
    assert not {name for name in named - metric_names() if name[-1] != "_"}


def test_links_and_module_names_in_pages_resolve():
    pages = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    unresolved = []
    for path in pages:
        text = path.read_text()
        for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text):
            if not (path.parent / link).exists():
                unresolved.append((path.name, link))
        is_glossary = path.name == "GLOSSARY.md"
        pattern = r"`(_[a-z_0-9]+)`" if is_glossary else r"`(_[a-z_0-9]+)\.py`"
        for name in re.findall(pattern, text):
            if not (ROOT / "tamarackhaven" / f"{name}.py").exists():
                unresolved.append((path.name, name))
    assert not unresolved
