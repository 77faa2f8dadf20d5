"""When a link between processes counts as dead."""

import pytest

from tamarackhaven.net._link import Link

PROBE_TIMEOUT_S = 0.75


class Transport:
    """Takes bytes, and says how many of them are unsent."""

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
    new_link.heard_at_s = 10.0
    return new_link


def test_a_link_that_was_heard_of_late_is_not_probed(link):
    link.probe(10.2, PROBE_TIMEOUT_S, min_idle_s=0.25)
    assert link._transport.unsent_bytes == 0
    link.probe(10.3, PROBE_TIMEOUT_S, min_idle_s=0.25)
    assert link._transport.unsent_bytes > 0


def test_a_link_without_an_answer_to_a_probe_is_given_up(link):
    link.probe(10.3, PROBE_TIMEOUT_S, min_idle_s=0.25)
    link.probe(11.0, PROBE_TIMEOUT_S)
    assert not link._transport.is_aborted
    link.probe(11.1, PROBE_TIMEOUT_S)
    assert link._transport.is_aborted


def test_a_link_that_still_sends_a_large_message_is_kept(link):
    # A body takes seconds on a VM's small link. The answer to a probe waits behind it;
    # given up, the link would lose the body and all that it carries besides.
    transport = link._transport
    transport.unsent_bytes = 500_000
    link.probe(10.3, PROBE_TIMEOUT_S, min_idle_s=0.25)
    for number in range(1, 9):
        transport.unsent_bytes = 500_000 - 50_000 * number
        link.probe(10.3 + 0.25 * number, PROBE_TIMEOUT_S)
    assert not transport.is_aborted
    link.probe(13.5, PROBE_TIMEOUT_S)
    assert transport.is_aborted, "nothing has left for more than the allowed time"


def test_a_link_says_how_much_of_a_message_is_still_to_come(link):
    assert link.arriving_bytes == 0
    link.data_received((100).to_bytes(4, "big") + bytes(30))
    assert link.arriving_bytes == 70
