"""When a daemon counts its session with the leading control VM as lost."""

import pytest

from tamarackhaven.sidecar._control_link import (
    BUSY_REPORT_TIMEOUT_S,
    REPORT_TIMEOUT_S,
    ControlLink,
)


class Link:
    """Fake link that last received data at a given time."""

    def __init__(self, last_received_s):
        self.last_received_s = last_received_s

    def send(self, message):
        """Discard a report."""


@pytest.fixture
def control():
    control = ControlLink(None, lambda number: number, None, None, None, None)
    control._send_report(Link(0.0), 100.0)
    return control


def test_a_silent_leader_is_lost(control):
    link = Link(last_received_s=99.0)
    assert control._silence_left_s(link, 90.0, 100.0 + REPORT_TIMEOUT_S - 0.01) > 0
    assert control._silence_left_s(link, 90.0, 100.0 + REPORT_TIMEOUT_S + 0.01) < 0


def test_a_leader_whose_answer_is_delayed_by_an_update_is_kept(control):
    # An update of hundreds of routes is in flight on a small link, followed by the
    # answer to the report. If the session were closed, the same update would be sent
    # again.
    link = Link(last_received_s=101.4)
    assert control._silence_left_s(link, 90.0, 101.5) > 0


def test_a_leader_that_sends_updates_but_no_answer_is_lost(control):
    # A leader that is cut off from its quorum can't confirm a lease, but it still
    # sends updates that follow from the reports of other daemons.
    late_s = 100.0 + BUSY_REPORT_TIMEOUT_S + 0.01
    link = Link(last_received_s=late_s)
    assert control._silence_left_s(link, 90.0, late_s) < 0
