"""Encoding and decoding of messages between processes, and of invalid bytes."""

import zlib

import attrs
import msgpack
import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven._metrics import Metrics
from tamarackhaven.errors import TamarackhavenError
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    ConfigurationView,
    KeysView,
    LeaderHint,
    LeaseGrant,
    MemberHello,
    Report,
    SuspectsView,
    TargetsView,
)
from tamarackhaven.fleet._model import (
    GrantId,
    Hold,
    KeyRange,
    Release,
    Target,
    TargetPhase,
)
from tamarackhaven.fleet._suspects import (
    OpenRun,
    RequestAnswers,
    SuspectPhase,
    SuspectRequest,
    TargetEnd,
)
from tamarackhaven.net import Codec, Packed
from tamarackhaven.routing import (
    Configuration,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)
from tamarackhaven.sidecar._messages import PEER_CODEC, Answered, Forward, Lost, NotRun

TARGET = Target("i@1", "i", 1, "s", "z", "h", 1, 4, TargetPhase.DRAINING, 0.5, 0.1)
ROUTE = Route(
    "r",
    "h",
    "/a/",
    RequestKind.UNSAFE,
    (WeightedService("s", 1.0),),
    1.0,
    source={"x": [1]},
)
CONTROL_MESSAGES = [
    Report(1, TARGET, (Hold(0, 1, 2),), (Release(0, 1, "t"),), GrantId(1, 2), ("x@1",)),
    Report(2),
    LeaseGrant(1, GrantId(3, 4), 2.5, "i@1", (KeyRange(0, 9, 1, "i@1", "t"),)),
    KeysView(4, "s", (KeyRange(0, 9),), False),
    TargetsView(1, (TARGET,), ("y@2",)),
    ConfigurationView(
        3, Configuration(2, (ServiceSpec("s", source={"name": "s"}),), (ROUTE,))
    ),
    Report(
        3,
        ends=(TargetEnd("i@1", (OpenRun(b"\xff", 2),)),),
        answers=(RequestAnswers(b"\x00", 3),),
        trials=(b"a",),
        wanted_trials=(b"b",),
    ),
    LeaseGrant(2, GrantId(1, 2), 1.0, trials=(b"\xfe",)),
    SuspectsView(
        5, (SuspectRequest(b"\xff", SuspectPhase.SUSPECT, (7,), 1, 1),), (b"x",), 4
    ),
    LeaderHint(True, 3, ("10.0.0.1", 7), (("10.0.0.1", 7),)),
    LeaderHint(False, 0, None, ()),
]
FORWARD = Forward(
    1,
    "i@1",
    "s",
    "r",
    5,
    "a",
    "GET",
    "/a/",
    ((b"Host", b"h"),),
    b"\x00",
    "c",
    True,
    2,
    9.5,
    -1.0,
)
PEER_MESSAGES = [
    FORWARD,
    Answered(1, 200, ((b"A", b"b"),), b"\xff\x00"),
    NotRun(1, "X", 0.5, True),
    Lost(1, "X"),
    Lost(1, "X", ended="i@1"),
]


@pytest.mark.parametrize(
    "message", CONTROL_MESSAGES, ids=lambda each: type(each).__name__
)
def test_control_messages_round_trip(message):
    assert CONTROL_CODEC.unpack(CONTROL_CODEC.pack(message)) == message


@pytest.mark.parametrize("message", PEER_MESSAGES, ids=lambda each: type(each).__name__)
def test_peer_messages_round_trip(message):
    assert PEER_CODEC.unpack(PEER_CODEC.pack(message)) == message


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=100))
def test_invalid_bytes_are_refused_with_a_code(data):
    with pytest.raises(TamarackhavenError):
        CONTROL_CODEC.unpack(data)


def test_large_view_is_compressed_and_round_trips():
    routes = tuple(attrs.evolve(ROUTE, name=f"r{n}", source={}) for n in range(400))
    view = ConfigurationView(3, Configuration(2, (), routes))
    data = CONTROL_CODEC.pack(view)
    assert len(data) < 8000, "more than 20 bytes per route"
    assert CONTROL_CODEC.unpack(data) == view


def test_packed_message_is_not_packed_again():
    data = CONTROL_CODEC.pack(CONTROL_MESSAGES[0])
    assert CONTROL_CODEC.pack(Packed(data)) == data


@pytest.mark.parametrize("missing_bytes", [1, 20, 200])
def test_truncated_compressed_message_is_refused(missing_bytes):
    packed = zlib.compress(msgpack.packb([3, [1] * 4000]))[:-missing_bytes]
    with pytest.raises(TamarackhavenError):
        CONTROL_CODEC.unpack(msgpack.packb(["ConfigurationView", packed]))


def test_sent_bytes_are_counted_by_message_class():
    # Without these counts nobody can tell which messages saturate a link.
    codec = Codec((MemberHello,))
    metrics = Metrics()
    hello = MemberHello("a", "h", 1)
    codec.count_sent(hello, 10)
    codec.count_sent(codec.packed(hello), 5)
    codec.export_metrics(metrics)
    assert 'tamarackhaven_link_sent_bytes{kind="MemberHello"} 15' in metrics.page()


def test_grant_does_not_repeat_the_owner_name_for_each_range():
    # Grants are sent to each daemon several times a second. With the owner's full name
    # in every range they would saturate slow links.
    life = "i-394c744dc6@1770364434065@10.1.0.29:7400"
    ranges = tuple(
        KeyRange(n * 8192, n * 8192 + 8191, 400 + n, life, "5c0e7a21d94b36f8")
        for n in range(8)
    )
    grant = LeaseGrant(50, GrantId(1, 500), 5.0, life, ranges, 321)
    assert len(CONTROL_CODEC.pack(grant)) < 8 * len(life)
    assert CONTROL_CODEC.unpack(CONTROL_CODEC.pack(grant)) == grant
