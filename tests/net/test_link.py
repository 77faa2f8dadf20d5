"""Probes on links between processes, and when a link is aborted."""

import asyncio

import pytest

from tamarackhaven.net._link import Link, dial

PROBE_TIMEOUT_S = 0.75


class Transport:
    """A transport that never sends; it only counts the bytes written to it."""

    def __init__(self):
        self.unsent_bytes = 0
        self.is_aborted = False

    def write(self, data):
        self.unsent_bytes += len(data)

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True


@pytest.fixture
def link():
    new_link = Link(None, None, None)
    new_link._transport = Transport()
    new_link.last_received_s = 10.0
    return new_link


def test_recently_active_link_is_not_probed(link):
    link.probe(10.2, PROBE_TIMEOUT_S, min_idle_s=0.25)
    assert link._transport.unsent_bytes == 0
    link.probe(10.3, PROBE_TIMEOUT_S, min_idle_s=0.25)
    assert link._transport.unsent_bytes > 0


def test_link_is_aborted_when_a_probe_stays_unanswered(link):
    link.probe(10.3, PROBE_TIMEOUT_S, min_idle_s=0.25)
    link.probe(11.0, PROBE_TIMEOUT_S)
    assert not link._transport.is_aborted
    link.probe(11.1, PROBE_TIMEOUT_S)
    assert link._transport.is_aborted


def test_link_is_kept_while_a_large_message_is_being_sent(link):
    # A body takes seconds on a VM's slow link and delays the reply to a probe. Aborting
    # the link would lose the body and everything else in flight on it.
    transport = link._transport
    transport.unsent_bytes = 500_000
    link.probe(10.3, PROBE_TIMEOUT_S, min_idle_s=0.25)
    for number in range(1, 9):
        transport.unsent_bytes = 500_000 - 50_000 * number
        link.probe(10.3 + 0.25 * number, PROBE_TIMEOUT_S)
    assert not transport.is_aborted
    link.probe(13.5, PROBE_TIMEOUT_S)
    assert transport.is_aborted, "no bytes were sent for longer than the probe timeout"


def test_arriving_bytes_counts_the_missing_bytes_of_a_partial_frame(link):
    assert link.arriving_bytes == 0
    link.data_received((100).to_bytes(4, "big") + bytes(30))
    assert link.arriving_bytes == 70


@pytest.mark.parametrize("address", [("127.0.0.1", 99_999), ("127.0.0.1", -1)])
def test_an_address_that_cannot_exist_is_unreachable(address):
    # Guards against: the task that looks for the leader ends on an odd address.
    with pytest.raises(OSError, match="not an address"):
        asyncio.run(dial(address, None, None, None))
