"""Loads settings from a TOML file and reports all problems in it at once."""

import difflib
import functools
import pathlib
import tomllib
import types
import typing

import attrs

from tamarackhaven._settings import ControlSettings, DaemonSettings
from tamarackhaven.errors import ErrorKind, TamarackhavenError

MIN_RENEWALS_PER_LEASE = 3

_DESCRIPTION_BY_TYPE = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list: "a list",
    dict: "a table",
}


@attrs.frozen
class Problem:
    """One invalid setting in a file; ``key`` is dotted, such as ``gate.queue_ms``."""

    kind: ErrorKind
    key: str
    text: str

    def __str__(self):
        return f"{self.key}: {self.text}"


class SettingsError(TamarackhavenError):
    """A settings file has at least one problem; the error kind is that of the first.

    Parameters
    ----------
    path : str or Path
        The settings file.
    problems : list of Problem
        All problems in the file; not empty.
    """

    def __init__(self, path, problems):
        texts = "; ".join(str(problem) for problem in problems)
        super().__init__(problems[0].kind, f"{path}: {texts}")
        self.problems = problems


def load_settings(path, settings_class):
    """Return the validated settings in a file.

    Parameters
    ----------
    path : str or Path
        A TOML file.
    settings_class : type
        An ``attrs`` class of ``_settings``.

    Raises
    ------
    TamarackhavenError
        SETTINGS_MISSING, SETTINGS_SYNTAX, SETTINGS_UNKNOWN_KEY, SETTINGS_WRONG_TYPE
        or SETTINGS_OUT_OF_RANGE; the detail names the file, each key and the cause.
    """
    table = read_toml(path)
    problems = []
    settings = _build_settings(table, settings_class, "", problems)
    if not problems:
        problems = cross_field_problems(settings)
    if problems:
        raise SettingsError(path, problems)
    return settings


@functools.singledispatch
def cross_field_problems(settings):
    """Return the problems between settings that are valid one by one, as a list."""
    return []


@cross_field_problems.register
def _(settings: ControlSettings):
    problems = _lease_problems(settings.lease)
    if settings.name not in [member.name for member in settings.members]:
        text = f"is out of range: {settings.name!r} is not in members"
        problems.append(Problem(ErrorKind.SETTINGS_OUT_OF_RANGE, "name", text))
    return problems


@cross_field_problems.register
def _(settings: DaemonSettings):
    return _lease_problems(settings.lease)


def _lease_problems(lease):
    """Report a renewal interval so long that one lost datagram could end the lease."""
    if lease.renew_ms * MIN_RENEWALS_PER_LEASE <= lease.lease_ms:
        return []
    text = f"is out of range: it must be a third of lease_ms ({lease.lease_ms}) or less"
    return [Problem(ErrorKind.SETTINGS_OUT_OF_RANGE, "lease.renew_ms", text)]


def read_toml(path):
    """Return the tables of a TOML file.

    Raises
    ------
    TamarackhavenError
        SETTINGS_MISSING or SETTINGS_SYNTAX, naming the file.
    """
    try:
        return tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise TamarackhavenError(
            ErrorKind.SETTINGS_MISSING, f"{path}: {error.strerror}."
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TamarackhavenError(
            ErrorKind.SETTINGS_SYNTAX, f"{path}: {error}."
        ) from error


def _build_settings(table, settings_class, prefix, problems):
    """Return an instance of ``settings_class``, or None if ``problems`` grew."""
    problem_count = len(problems)
    field_by_name = attrs.fields_dict(attrs.resolve_types(settings_class))
    for name in table:
        if name not in field_by_name:
            problems.append(_unknown_key_problem(name, field_by_name, prefix))
    value_by_name = {}
    for name, field in field_by_name.items():
        key = prefix + name
        if name in table:
            value = _convert_value(table[name], field.type, key, problems)
            value_by_name[name] = value
            _check_range(field, value, key, problems)
        elif field.default is attrs.NOTHING:
            text = "is missing and has no default"
            problems.append(Problem(ErrorKind.SETTINGS_MISSING, key, text))
    if len(problems) > problem_count:
        return None
    return settings_class(**value_by_name)


def _unknown_key_problem(name, field_by_name, prefix):
    near = difflib.get_close_matches(name, field_by_name, n=1)
    text = f"is unknown; did you mean {prefix}{near[0]}?" if near else "is unknown"
    return Problem(ErrorKind.SETTINGS_UNKNOWN_KEY, prefix + name, text)


def _convert_value(value, expected_type, key, problems):
    """Return the value converted to the field's type, or None if ``problems`` grew."""
    if attrs.has(expected_type):
        if isinstance(value, dict):
            return _build_settings(value, expected_type, f"{key}.", problems)
        problems.append(_wrong_type_problem(key, dict, value))
        return None
    if typing.get_origin(expected_type) is list:
        return _convert_list(value, typing.get_args(expected_type)[0], key, problems)
    accepted = (int, float) if expected_type is float else (expected_type,)
    if type(value) not in accepted:
        problems.append(_wrong_type_problem(key, expected_type, value))
        return None
    return value


def _convert_list(value, expected_type, key, problems):
    if not isinstance(value, list):
        problems.append(_wrong_type_problem(key, list, value))
        return None
    items = []
    for number, item in enumerate(value):
        items.append(_convert_value(item, expected_type, f"{key}[{number}]", problems))
    return items


def _wrong_type_problem(key, expected_type, value):
    name = _DESCRIPTION_BY_TYPE.get(expected_type, expected_type.__name__)
    actual_name = _DESCRIPTION_BY_TYPE.get(type(value), type(value).__name__)
    text = f"must be {name}, not {actual_name}"
    return Problem(ErrorKind.SETTINGS_WRONG_TYPE, key, text)


def _check_range(field, value, key, problems):
    """Check the range of a value with the validator of its field."""
    if value is None or field.validator is None or _has_problem(key, problems):
        return
    # Validators take the name from the field and don't use the instance, so an empty
    # one suffices.
    try:
        field.validator(types.SimpleNamespace(), field, value)
    except (ValueError, TypeError) as error:
        text = f"is out of range: {error.args[0]}"
        problems.append(Problem(ErrorKind.SETTINGS_OUT_OF_RANGE, key, text))


def _has_problem(key, problems):
    return any(problem.key.startswith(key) for problem in problems)
