"""Digests that tell whether two processes have the same configuration."""

import random

import attrs
import pytest

from tamarackhaven._digests import DIGEST_BYTES, digest_text
from tamarackhaven.fleet._messages import CONTROL_CODEC, ConfigurationView
from tamarackhaven.routing import (
    Configuration,
    HoldOrders,
    Limits,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
    bare,
)

ROUTE = Route("r", "h", "/r/", RequestKind.SAFE, (WeightedService("s", 1.0),), 1.0)
ROUTES = (ROUTE, attrs.evolve(ROUTE, name="q", prefix="/q/"))
CONFIGURATION = Configuration(3, (ServiceSpec("s"), ServiceSpec("t")), ROUTES)


def other_value(value):
    if isinstance(value, bool):
        return not value
    if isinstance(value, RequestKind):
        return RequestKind.UNSAFE
    if isinstance(value, HoldOrders):
        return HoldOrders.CALLS
    if isinstance(value, tuple):
        return (*value, WeightedService("t", 2.0))
    return value + "x" if isinstance(value, str) else value + 1


@pytest.mark.parametrize("item", [ROUTE, ServiceSpec("s"), Limits()])
def test_a_digest_covers_every_field_but_the_source(item):
    # Guards against: two processes take different configurations for the same.
    for field in attrs.fields(type(item)):
        if field.name == "source":
            changed = attrs.evolve(item, source={"a": 1})
            assert changed.digest == item.digest
        else:
            value = other_value(getattr(item, field.name))
            changed = attrs.evolve(item, **{field.name: value})
            assert changed.digest != item.digest, field.name


def test_a_configuration_has_the_same_digest_in_any_order_and_after_the_wire():
    shuffled = list(ROUTES)
    random.Random(1).shuffle(shuffled)
    sources = tuple(attrs.evolve(each, source={"a": 1}) for each in shuffled[::-1])
    other = attrs.evolve(CONFIGURATION, routes=sources)
    sent = CONTROL_CODEC.pack(ConfigurationView(1, bare(other)))
    assert CONTROL_CODEC.unpack(sent).configuration.digest == CONFIGURATION.digest


def test_configurations_that_differ_have_different_digests():
    digests = {
        each.digest
        for each in (
            CONFIGURATION,
            attrs.evolve(CONFIGURATION, version=4),
            attrs.evolve(CONFIGURATION, routes=ROUTES[:1]),
            attrs.evolve(CONFIGURATION, services=CONFIGURATION.services[:1]),
            attrs.evolve(CONFIGURATION, limits=Limits(max_header_bytes=1)),
        )
    }
    assert len(digests) == 5


def test_a_digest_is_logged_with_a_fixed_length():
    assert digest_text(5) == "5".rjust(2 * DIGEST_BYTES, "0")
