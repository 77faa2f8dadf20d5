"""What another writer may send to the target's interface of the older runtime."""

import io
import json
from wsgiref.util import setup_testing_defaults

import pytest

from tamarackhaven._announce_app import announce_app
from tamarackhaven._numbers import read_digits

ANNOUNCEMENT = {
    "incarnation": "one",
    "slots": 8,
    "address": {"host": "127.0.0.1", "port": 8080},
}
REPORT = {
    "incarnation": "one",
    "slots": 8,
    "running": 2,
    "uptime_s": 3.5,
    "age_s": 0.1,
    "served": 7,
}
HUGE = "9" * 401
NESTED = "[" * 100_000 + "]" * 100_000


class Handler:
    """Keeps what it's told."""

    def __init__(self):
        self.told = []

    def announced(self, announcement):
        self.told.append(announcement)

    def reported(self, report):
        self.told.append(report)

    def left(self):
        self.told.append("left")

    def state(self):
        return {}


def post(path, body):
    """Send a call; return its status and what the handler was told."""
    handler = Handler()
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "REQUEST_URI": path,
        "REMOTE_ADDR": "127.0.0.1",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    setup_testing_defaults(environ)
    statuses = []
    app = announce_app(handler)
    list(app(environ, lambda status, headers, *rest: statuses.append(status)))
    return int(statuses[0].split()[0]), handler.told


def with_value(document, path, text):
    """Return a document's JSON with the text of one value replaced."""
    copy = json.loads(json.dumps(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = "VALUE"
    return json.dumps(copy).replace('"VALUE"', text).encode()


@pytest.mark.parametrize(
    ("path", "document"), [("/announce", ANNOUNCEMENT), ("/report", REPORT)]
)
def test_entries_of_a_target_are_taken(path, document):
    status, told = post(path, json.dumps(document).encode())
    assert (status, len(told)) == (200, 1)


@pytest.mark.parametrize("text", ["Infinity", "1e400", "NaN", HUGE, "-1", NESTED])
@pytest.mark.parametrize(
    ("call", "document", "path"),
    [
        ("/announce", ANNOUNCEMENT, ("slots",)),
        ("/announce", ANNOUNCEMENT, ("address", "port")),
        *(("/report", REPORT, (name,)) for name in REPORT if name != "incarnation"),
    ],
)
def test_an_odd_number_is_refused_and_not_passed_on(call, document, path, text):
    # Guards against: threads of the daemon end on a port, a number of slots or a time
    # that no target has.
    assert post(call, with_value(document, path, text)) == (400, [])


@pytest.mark.parametrize("port", ["0", "65536", "99999"])
def test_a_port_out_of_range_is_refused(port):
    body = with_value(ANNOUNCEMENT, ("address", "port"), port)
    assert post("/announce", body) == (400, [])


@pytest.mark.parametrize("call", ["/announce", "/report", "/leaving"])
def test_lists_nested_deeply_are_refused_with_a_code(call):
    assert post(call, NESTED.encode())[0] in (400, 200)
    assert post(call, b'{"incarnation":' + NESTED.encode() + b"}")[0] in (400, 200)


@pytest.mark.parametrize(
    ("text", "number"),
    [("0", 0), ("17", 17), ("9" * 300, 99), ("", None), ("²", None), ("-1", None)],
)
def test_digits_in_headers_are_read_within_bounds(text, number):
    # Guards against: a header with other digits, or too many, ends in an internal
    # error.
    assert read_digits(text, 99) == number
