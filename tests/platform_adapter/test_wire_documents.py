"""Decoding of valid and invalid configuration documents and heartbeats."""

import json

import pytest
import wire_configuration as documents
from hypothesis import given, settings, strategies as st
from target_registry import read_born_ms, read_heartbeat

from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet import Hold, Release, TargetPhase
from tamarackhaven.fleet._state import ReplaceConfiguration, encode
from tamarackhaven.routing import RequestKind, check, edited

DOCUMENT = {
    "version": "r7",
    "services": [
        {"name": "a", "health_path": "/health", "cold_per_s": 4.6, "sharded": True},
        {"name": "b", "protocol": "h1", "tls": False, "later": [1]},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_s": 15},
    "virtual_hosts": [
        {
            "host": "h.example",
            "path_routes": [
                {
                    "name": "one",
                    "path_prefix": "/x/",
                    "kind": "safe",
                    "timeout_s": 1.2,
                    "target_latency_s": 0.6,
                    "priority": 2,
                    "weighted_services": [
                        {"service": "a", "weight": 90},
                        {"service": "b", "weight": 10},
                    ],
                    "max_attempts": 2,
                },
                {
                    "name": "two",
                    "path_prefix": "/y/",
                    "kind": "unsafe",
                    "timeout_s": 1.5,
                    "service": "b",
                },
            ],
        }
    ],
}
HEARTBEAT = {
    "address": "10.0.0.1:80",
    "born": 1700000000000,
    "info": {"service": "a", "version": "v1", "zone": "z", "max_concurrency": 6},
    "status": {"state": "draining", "sequence": 4, "cold_s_time": 1.5},
    "active_holds": [[0, 4095, 7]],
    "released": [[4096, 8191, "token"]],
}


def test_configuration_document_round_trips():
    configuration = documents.read_configuration(DOCUMENT)
    check(configuration, 0)
    assert documents.write_configuration(configuration) == DOCUMENT
    assert configuration.version == 7
    one, two = configuration.routes
    assert [part.weight for part in one.parts] == [90.0, 10.0]
    assert two.kind is RequestKind.UNSAFE
    assert two.objective_s == 1.5


def test_edit_replaces_and_removes_routes_by_name():
    configuration = documents.read_configuration(DOCUMENT)
    host = DOCUMENT["virtual_hosts"][0]
    changed = host["path_routes"][1] | {"timeout_s": 9, "path_prefix": "/z/"}
    edit = documents.read_edit(
        {
            "version": "r9",
            "upsert": {
                "virtual_hosts": [{"host": "h.example", "path_routes": [changed]}]
            },
            "remove": {"routes": ["one"]},
        }
    )
    after = edited(configuration, edit)
    assert [route.name for route in after.routes] == ["two"]
    assert after.routes[0].timeout_s == 9.0
    assert after.services == configuration.services


def mutations():
    yield "not JSON", lambda d: None
    for path in (
        ("version",),
        ("services",),
        ("virtual_hosts",),
        ("services", 0, "name"),
        ("virtual_hosts", 0, "host"),
        ("virtual_hosts", 0, "path_routes", 0, "name"),
        ("virtual_hosts", 0, "path_routes", 0, "path_prefix"),
        ("virtual_hosts", 0, "path_routes", 0, "kind"),
        ("virtual_hosts", 0, "path_routes", 0, "timeout_s"),
        ("virtual_hosts", 0, "path_routes", 1, "service"),
    ):
        for value in (..., {}, True, "?" * 3):
            if (
                path[-1] in ("name", "path_prefix", "host", "service")
                and value == "???"
            ):
                continue
            yield f"{path}={value}", (path, value)


@pytest.mark.parametrize(
    "mutation", [m for _, m in mutations() if isinstance(m, tuple)]
)
def test_document_with_a_missing_or_wrong_field_is_invalid(mutation):
    path, value = mutation
    document = json.loads(json.dumps(DOCUMENT))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    if value is ...:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    with pytest.raises(TamarackhavenError) as caught:
        documents.read_configuration(document)
    assert caught.value.kind is ErrorKind.INVALID_RESOURCE


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"version": "r1"', b"\xff"])
def test_body_that_is_not_a_json_object_is_invalid(body):
    with pytest.raises(TamarackhavenError):
        documents.read_configuration(documents.read_document(body))


@pytest.mark.parametrize("text", ["r", "x1", "r-1", "r1.5", "", "r²"])
def test_version_without_a_number_is_invalid(text):
    with pytest.raises(TamarackhavenError):
        documents.read_version(text)


def test_heartbeat_is_decoded():
    heartbeat = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert (heartbeat.name, heartbeat.born_ms, heartbeat.sequence) == (
        "i-1",
        1700000000000,
        4,
    )
    assert heartbeat.phase is TargetPhase.DRAINING
    assert heartbeat.cold_s == 1.5
    assert heartbeat.holds == (Hold(0, 4095, 7),)
    assert heartbeat.releases == (Release(4096, 8191, "token"),)


@pytest.mark.parametrize("path", [("address",), ("info", "version"), ("info", "zone")])
@pytest.mark.parametrize("value", [..., 7, None, []])
def test_a_heartbeat_that_names_no_target_is_refused(path, value):
    # Guards against: a heartbeat of another writer, with fields missing or of another
    # type, counts as one of the target.
    document = json.loads(json.dumps(HEARTBEAT))
    parent = document if len(path) == 1 else document[path[0]]
    parent.pop(path[-1], None)
    if value is not ...:
        parent[path[-1]] = value
    with pytest.raises(TamarackhavenError) as caught:
        read_heartbeat("i-1", json.dumps(document).encode())
    assert caught.value.kind is ErrorKind.INVALID_RESOURCE


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
PATHS = [
    ("born",),
    ("address",),
    ("info",),
    ("info", "version"),
    ("status",),
    ("info", "service"),
    ("info", "zone"),
    ("info", "max_concurrency"),
    ("status", "state"),
    ("status", "sequence"),
    ("status", "cold_s_time"),
    ("active_holds",),
    ("released",),
    ("active_holds", 0),
    ("active_holds", 0, 1),
    ("released", 0, 2),
]


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.sampled_from(PATHS), JSON)
def test_heartbeat_with_any_field_value_is_decoded_or_refused_with_a_code(path, value):
    # Another program may send bytes to the registry port. Whatever they are, the daemon
    # must keep running; an exception without a code would be an internal error.
    document = json.loads(json.dumps(HEARTBEAT))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    try:
        read_heartbeat("i-1", json.dumps(document).encode())
    except TamarackhavenError as error:
        assert error.kind is ErrorKind.INVALID_RESOURCE


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_invalid_heartbeat_bytes_are_refused_with_a_code(data):
    with pytest.raises(TamarackhavenError):
        read_heartbeat("i-1", data)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.dictionaries(st.sampled_from([*DOCUMENT, "upsert", "remove"]), JSON))
def test_configuration_with_any_field_value_is_decoded_or_refused_with_a_code(document):
    for read in (documents.read_configuration, documents.read_edit):
        try:
            read(document)
        except TamarackhavenError as error:
            assert error.kind is ErrorKind.INVALID_RESOURCE


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [(b'{"born":12}', 12), (b"{}", None), (b"", None), (b"no", None), (b"[1]", None)],
)
def test_a_leave_may_say_which_life_leaves(body, born_ms):
    assert read_born_ms(body) == born_ms


@pytest.mark.parametrize("text", [str(documents.MAX_VERSION + 1), "9" * 5000])
def test_a_version_that_cannot_be_stored_is_refused(text):
    # Guards against: each control VM in turn fails on the order with an internal error.
    with pytest.raises(TamarackhavenError) as caught:
        documents.read_version(f"r{text}")
    assert caught.value.kind is ErrorKind.INVALID_RESOURCE
    assert documents.read_version(f"r{documents.MAX_VERSION}") == documents.MAX_VERSION


def test_a_document_that_cannot_be_returned_is_refused():
    # Guards against: a configuration is accepted, and no control VM can return it.
    nested = "[" * 300 + "]" * 300
    with pytest.raises(TamarackhavenError) as caught:
        documents.read_document(b'{"version":"r1","extra":' + nested.encode() + b"}")
    assert caught.value.kind is ErrorKind.INVALID_RESOURCE
    documents.read_document(json.dumps(DOCUMENT).encode())


@pytest.mark.parametrize(
    "path",
    [
        ("services", 0, "max_connections"),
        ("limits", "max_header_bytes"),
        ("limits", "max_body_bytes"),
        ("virtual_hosts", 0, "path_routes", 0, "priority"),
        ("virtual_hosts", 0, "path_routes", 0, "max_attempts"),
    ],
)
def test_a_number_that_cannot_be_stored_is_refused(path):
    # Guards against: an order ends in an internal error, and operators send it again
    # without end.
    document = json.loads(json.dumps(DOCUMENT))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = 1 << 64
    with pytest.raises(TamarackhavenError) as caught:
        documents.read_configuration(
            documents.read_document(json.dumps(document).encode())
        )
    assert caught.value.kind is ErrorKind.INVALID_RESOURCE
    assert "beyond" in caught.value.detail
    parent[path[-1]] = 1 << 62
    encode(ReplaceConfiguration(0, documents.read_configuration(document), "digest"))


@pytest.mark.parametrize("depth", [100, 250, 1020])
@pytest.mark.parametrize("field", ["lease_grants", "name", "sharded", "cold_s"])
def test_nested_values_in_a_configuration_are_refused_with_a_code(field, depth):
    document = json.loads(json.dumps(DOCUMENT))
    document["services"][0][field] = "NESTED"
    nested = "[" * depth + "]" * depth
    body = json.dumps(document).replace('"NESTED"', nested).encode()
    with pytest.raises(TamarackhavenError) as caught:
        documents.read_configuration(documents.read_document(body))
    assert caught.value.kind is ErrorKind.INVALID_RESOURCE
    assert len(caught.value.detail) < 200
