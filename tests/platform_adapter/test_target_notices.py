"""What targets on the users' platform report of themselves in their replies."""

import pytest
from target_notices import read_notice

from tamarackhaven.sidecar import TargetNotice


def notice(*headers):
    return read_notice([(name.encode(), value.encode()) for name, value in headers])


@pytest.mark.parametrize("prefix", ["", "Tamarackhaven-"])
def test_a_limit_and_leaving_are_read_with_and_without_the_prefix(prefix):
    headers = (f"{prefix}Server-Limit", "2.4"), (f"{prefix}Server-Leaving", "1")
    read = notice(*headers)
    assert (read.limit_per_s, read.is_leaving) == (2.4, True)
    assert not read.bad_headers
    assert not read.unknown_headers


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [("0", 0.0), ("12", 12.0), ("0.1", 0.1), ("1.7000000000000002", 1.7)],
)
def test_a_decimal_number_is_a_limit(text, limit_per_s):
    assert notice(("server-limit", text)).limit_per_s == pytest.approx(limit_per_s)


@pytest.mark.parametrize(
    "text",
    ["", "-1", "nan", "inf", "1e9", "many", "2,4", "2.4, 2.4", "0x10", "9" * 400],
)
def test_a_value_that_is_no_decimal_number_is_reported_and_names_no_limit(text):
    read = notice(("Server-Limit", text))
    assert read.limit_per_s is None
    assert read.bad_headers == (("server-limit", text),)


def test_a_limit_that_is_named_twice_is_reported_and_names_no_limit():
    read = notice(("Server-Limit", "2"), ("Server-Limit", "3"))
    assert read.limit_per_s is None
    assert len(read.bad_headers) == 2


@pytest.mark.parametrize("text", ["", "0", "true", "2"])
def test_a_target_leaves_only_with_the_value_1(text):
    read = notice(("Server-Leaving", text))
    assert not read.is_leaving
    assert read.bad_headers == (("server-leaving", text),)


def test_headers_that_the_program_does_not_know_are_reported():
    headers = (
        ("Content-Length", "3"),
        ("Server", "x"),
        ("Tamarackhaven-Server-Load", "1,0,6"),
        ("Tamarackhaven-Server-Mood", "good"),
    )
    assert notice(*headers) == TargetNotice(
        unknown_headers=("tamarackhaven-server-mood",)
    )
