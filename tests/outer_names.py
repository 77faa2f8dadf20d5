"""Collects from the code the names that leave a process, for ``test_outer_names``.

``PYTHONPATH=. python tests/outer_names.py`` prints ``docs/OUTER-NAMES.txt``.
"""

import ast
import enum
import functools
import importlib
import inspect
import pathlib
import pkgutil
import re
import typing

import attrs

import tamarackhaven
from tamarackhaven import (
    __main__,
    _changes,
    _decisions,
    _events,
    _fences,
    _handover,
    _lease_wire,
    _members,
    _model,
    _raft_messages,
    _raft_wire,
    _record,
    _refusals,
    _state,
    _storage,
    _wire_pb2,
    errors,
    porcelain,
)
from tamarackhaven.fleet import (
    _messages as fleet_messages,
    _settings as fleet_settings,
    _state as fleet_state,
)
from tamarackhaven.net import Codec
from tamarackhaven.sidecar import _messages as sidecar_messages

ROOT = pathlib.Path(__file__).parents[1]
SENTENCE_READERS = ("docs/OPERATIONS.md", "docs/OPERATING.md", "tests", "features")
SENTENCE_READERS += ("soak", "standin", "scripts")
SHOWN_ENUMS = (
    "End",
    "FailurePoint",
    "HoldCause",
    "HoldOrders",
    "LeaseLoss",
    "MoveCause",
    "OrderEnd",
    "RequestKind",
    "RetryReason",
    "RetryRefusal",
    "Role",
    "TargetPhase",
    "Verdict",
)
SENTENCES = "sentences of log lines that a page, a test or a tool matches"
METRIC_PAGES = ("docs/OPERATING.md", "docs/OPERATIONS.md")
METRIC = re.compile(r"tamarackhaven_[a-z_]*")
HEADER = re.compile(
    r"(tamarackhaven-[a-z-]+|idempotency-key|retry-after)", re.IGNORECASE
)
PATH = re.compile(r"/[a-z]+/?")
WIRE_WORD = re.compile(r"[A-Za-z/][A-Za-z0-9_./-]*")
FLAG = re.compile(r"--[a-z-]+")
VARIABLE = re.compile(r"[A-Z][A-Z_]*[A-Z]")


@functools.cache
def sections():
    """Return the names that leave a process, in order, by the title of a section."""
    product = _trees("tamarackhaven")
    return {
        "messages between processes, each with its fields in order": _messages(),
        "protobuf messages, each with its fields in order, and calls": _protobuf(),
        "records in JSON and MessagePack, each with its fields": _records(),
        "tags, marks and file names of stored data": _stored(),
        "enum members and values that are written out": _enums(),
        "error kinds, codes and what callers are told of them": _errors(),
        "settings": _settings(),
        "commands and their parameters": _commands(),
        "keys of JSON objects and of other mappings": _keys(
            product + _trees("platform")
        ),
        "headers and paths": _matching(product, HEADER) + _matching(product, PATH),
        "metrics and their labels": _metrics(product),
        "fields of log lines": _log_fields(product + _trees("platform")),
        SENTENCES: _matched_sentences(),
        "names of the users' platform": _platform_names(),
        "settings templates and the deploy file": _deploy_keys(),
        "flags and environment variables": _flags(),
    }


def text():
    """Return the file's text."""
    parts = []
    for title, names in sections().items():
        parts.append(f"# {title}\n" + "".join(f"{name}\n" for name in names))
    return "\n".join(parts)


def _trees(folder):
    paths = sorted((ROOT / folder).rglob("*.py"))
    paths = [path for path in paths if "_pb2" not in path.name]
    return [ast.parse(path.read_text()) for path in paths if "_grpc" not in path.name]


def _modules():
    found = pkgutil.walk_packages(tamarackhaven.__path__, "tamarackhaven.")
    return [
        importlib.import_module(each.name)
        for each in found
        if not each.name.endswith(("__main__", "_grpc", "_pb2"))
    ]


def _classes_of(kind):
    """Yield the ``attrs`` and enum classes that a type names, itself included."""
    if inspect.isclass(kind) and (attrs.has(kind) or issubclass(kind, enum.Enum)):
        yield kind
    for part in typing.get_args(kind):
        yield from _classes_of(part)


def _reachable(kinds):
    """Return the classes of ``kinds`` and of their fields, in order of first use."""
    found = {}
    waiting = [each for kind in kinds for each in _classes_of(kind)]
    while waiting:
        kind = waiting.pop(0)
        if kind in found:
            continue
        found[kind] = True
        if attrs.has(kind):
            attrs.resolve_types(kind)
            waiting += [
                each for field in attrs.fields(kind) for each in _classes_of(field.type)
            ]
    return list(found)


def _with_fields(kinds):
    names = []
    for kind in kinds:
        if attrs.has(kind):
            if not kind.__name__.startswith("_"):
                names.append(kind.__name__)
            names += [field.name for field in attrs.fields(kind)]
    return names


def _codecs():
    return (sidecar_messages.PEER_CODEC, fleet_messages.CONTROL_CODEC)


def _message_kinds():
    kinds = []
    for codec in _codecs():
        assert isinstance(codec, Codec)
        tables = [each for each in vars(codec).values() if isinstance(each, dict)]
        by_name = next(each for each in tables if each and _is_kind_table(each))
        assert all(name == kind.__name__ for name, kind in by_name.items())
        kinds += by_name.values()
    return kinds


def _is_kind_table(table):
    return all(inspect.isclass(each) for each in table.values())


def _record_kinds():
    return [
        _model.Resource,
        _changes.Change,
        _changes.Outcome,
        _events.Event,
        _events.LoadReport,
        _members.Membership,
        _members.Step,
        _decisions.Decision,
        _fences.Fence,
        _storage.Identity,
        _state.StateSnapshot,
        _state.Command,
        _handover.LedgerPart,
        _refusals.Refusal,
        fleet_state.Command,
        _saved_state(),
    ]


def _saved_state():
    """Return the class that a fleet's snapshot is written as."""
    return fleet_state._Saved


def _messages():
    return _with_fields(_reachable(_message_kinds()))


def _records():
    return _with_fields(_reachable(_record_kinds()))


def _protobuf():
    names = []
    described = _wire_pb2.DESCRIPTOR
    for message in described.message_types_by_name.values():
        names.append(message.name)
        names += [field.name for field in message.fields]
    for service in described.services_by_name.values():
        names.append(service.name)
        names += [method.name for method in service.methods]
    return names


def _stored():
    names = list(_raft_wire._READ_BY_KIND)
    names += ["type", "command", "group", "logs"]
    names += [_fences._NAME, _storage._LOG]
    for module in (_record, _storage, _fences):
        names += sorted(
            value.decode("latin-1") if isinstance(value, bytes) else value
            for name, value in vars(module).items()
            if name.endswith(("MARK", "NAME", "SUFFIX", "FILE"))
            and isinstance(value, (str, bytes))
            and str(value).isprintable()
        )
    for kind in (_raft_messages.EntryKind, _lease_wire._Kind, _lease_wire.Reason):
        names += [f"{each.name}={int(each)}" for each in kind]
    return list(dict.fromkeys(names))


def _enums():
    """Return the members of enums that a message, a record, a log or a metric shows."""
    written = {each for each in _reachable(_message_kinds()) if not attrs.has(each)}
    written |= {each for each in _reachable(_record_kinds()) if not attrs.has(each)}
    names = []
    for module in _modules():
        for kind in vars(module).values():
            if inspect.isclass(kind) and kind.__name__ in SHOWN_ENUMS:
                written.add(kind)
    for kind in sorted(written - {errors.ErrorKind}, key=lambda each: each.__name__):
        for each in kind:
            names += [each.name, str(each.value)]
    return list(dict.fromkeys(names))


def _errors():
    names = []
    for kind in errors.ErrorKind:
        names += [kind.name, str(kind.value)]
    for kind in (errors.Ran, errors.Repeat):
        for each in kind:
            names += [each.name, str(each.value)]
    tree = ast.parse((ROOT / "tamarackhaven" / "_answer.py").read_text())
    keys = [node for node in ast.walk(tree) if isinstance(node, ast.Dict)]
    names += [each.value for node in keys for each in node.keys if _is_text(each)]
    return names


def _settings():
    kinds = list(porcelain.SETTINGS_BY_ROLE.values())
    kinds += [fleet_settings.FleetControlSettings, fleet_settings.DaemonSettings]
    names = []
    for kind in _reachable(kinds):
        if attrs.has(kind):
            names += [field.name for field in attrs.fields(kind)]
    return list(dict.fromkeys(names))


def _commands():
    names = list(porcelain.SETTINGS_BY_ROLE)
    for command in __main__.COMMANDS:
        names.append(command.__name__)
        for parameter in inspect.signature(command).parameters.values():
            names.append(parameter.name)
            names += typing.get_args(parameter.annotation)
    return list(dict.fromkeys(str(name) for name in names))


def _is_text(node):
    return isinstance(node, ast.Constant) and isinstance(node.value, str)


def _texts(trees):
    """Yield the texts of the code, docstrings left out; bytes as text."""
    for tree in trees:
        statements = (each for each in ast.walk(tree) if isinstance(each, ast.Expr))
        docstrings = {id(each.value) for each in statements}
        for node in ast.walk(tree):
            if not isinstance(node, ast.Constant) or id(node) in docstrings:
                continue
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def _matching(trees, pattern):
    return sorted({each for each in _texts(trees) if pattern.fullmatch(each)})


def _keys(trees):
    """Return the texts that are keys of a ``dict`` literal, ``[...]`` or ``get``."""
    keys = set()
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Dict):
                keys |= {each.value for each in node.keys if _is_text(each)}
            elif isinstance(node, ast.Subscript) and _is_text(node.slice):
                keys.add(node.slice.value)
    for call in _calls(trees, ("get",)):
        keys |= {each.value for each in call.args[:1] if _is_text(each)}
    return sorted(key for key in keys if key.strip())


def _calls(trees, names):
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and getattr(node.func, "attr", "") in names:
                yield node


def _metrics(trees):
    labels = {
        keyword.arg
        for call in _calls(trees, ("count", "gauge", "observe"))
        for keyword in call.keywords
        if keyword.arg and keyword.arg != "amount"
    }
    pages = "".join((ROOT / name).read_text() for name in METRIC_PAGES)
    names = {*_matching(trees, METRIC), *METRIC.findall(pages)}
    return sorted(names) + sorted(labels)


def _log_fields(trees):
    fields = {
        keyword.arg
        for call in _calls(trees, ("say", "write", "_write", "JsonLines"))
        for keyword in call.keywords
        if keyword.arg
    }
    return sorted(fields | {"at", "vm", "sentence", "part", "lines_lost_before"})


def log_sentences():
    """Return the sentences of log lines; in a conditional, each of them."""
    return {
        node.value
        for call in _calls(_trees("tamarackhaven") + _trees("platform"), ("say",))
        if call.args
        for node in ast.walk(call.args[0])
        if _is_text(node)
    }


def _matched_sentences():
    readers = []
    for name in SENTENCE_READERS:
        path = ROOT / name
        paths = sorted(path.rglob("*")) if path.is_dir() else [path]
        readers += [
            each.read_text()
            for each in paths
            if each.suffix in (".py", ".md", ".feature", ".txt")
        ]
    return sorted(
        sentence
        for sentence in log_sentences()
        if any(sentence in reader for reader in readers)
    )


def _platform_names():
    return _matching(_trees("platform"), WIRE_WORD)


def _deploy_keys():
    names = set()
    for path in sorted((ROOT / "deploy").glob("*.t*")):
        for line in path.read_text().splitlines():
            names |= set(re.findall(r"([a-z_]+) = ", line))
            names |= set(re.findall(r"^\[([a-z_.]+)\]", line))
            names |= set(re.findall(r"{{#?([a-z_.0-9]+)}}", line))
    return sorted(names)


def _flags():
    trees = [
        tree
        for each in ("soak", "benches", "standin", "scripts")
        for tree in _trees(each)
    ]
    variables = {
        node.value
        for folder in (
            "tamarackhaven",
            "platform",
            "soak",
            "benches",
            "standin",
            "tests",
        )
        for path in (ROOT / folder).rglob("*.py")
        if "environ" in path.read_text()
        for node in ast.walk(ast.parse(path.read_text()))
        if _is_text(node) and "_" in node.value and VARIABLE.fullmatch(node.value)
    }
    return _matching(trees, FLAG) + sorted(variables) + _defopt_parameters(trees)


def _defopt_parameters(trees):
    """Return the parameters of the functions that ``defopt`` makes programs of."""
    names = set()
    for tree in trees:
        programs = {
            argument.id
            for call in _calls([tree], ("run",))
            if isinstance(call.func.value, ast.Name) and call.func.value.id == "defopt"
            for argument in call.args
            if isinstance(argument, ast.Name)
        }
        for node in tree.body:
            if isinstance(node, ast.FunctionDef) and node.name in programs:
                names |= {each.arg for each in node.args.args + node.args.kwonlyargs}
    return sorted(names)


if __name__ == "__main__":
    print(text(), end="")
