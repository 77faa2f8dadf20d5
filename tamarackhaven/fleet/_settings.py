"""Settings of a control VM and of a daemon in a fleet; read by ``_settings_file``.

Addresses are strings like ``10.1.0.41:8620``. Times are in seconds.
"""

import attrs
from attrs.validators import and_, deep_iterable, ge, instance_of, le, matches_re

_ADDRESS = matches_re(r"[0-9.]+:[0-9]{1,5}")


def _address(default=attrs.NOTHING):
    return attrs.field(default=default, validator=and_(instance_of(str), _ADDRESS))


def _address_or_empty():
    valid = matches_re(r"(|[0-9.]+:[0-9]{1,5})")
    return attrs.field(default="", validator=and_(instance_of(str), valid))


def _addresses():
    return attrs.field(
        factory=list, validator=deep_iterable(and_(instance_of(str), _ADDRESS))
    )


def _text(default=attrs.NOTHING):
    return attrs.field(default=default, validator=instance_of(str))


def _seconds(default, low, high):
    return attrs.field(
        default=default, validator=[instance_of((int, float)), ge(low), le(high)]
    )


def _count(default, low, high):
    return attrs.field(default=default, validator=[instance_of(int), ge(low), le(high)])


def split(address):
    """Return ``(host, port)`` of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@attrs.frozen
class FleetLeaseSettings:
    """Leases of targets; must be the same on all control VMs and daemons.

    Parameters
    ----------
    heartbeat_s : float
        Time between two heartbeats of a target, as set by the platform.
    longest_hold_s : float
        Longest time for which a target may be granted keys.
    """

    heartbeat_s: float = _seconds(1.0, 0.01, 60)
    longest_hold_s: float = _seconds(10.0, 0.1, 600)

    @property
    def lease_s(self):
        """Length of a lease, in seconds.

        A target's hold survives two lost heartbeats and a change of the control group's
        leader, which takes about 1.5 s.
        """
        return min(1.5 + 2.5 * self.heartbeat_s, self.longest_hold_s)


@attrs.frozen
class FleetControlSettings:
    """One control VM of a fleet.

    Parameters
    ----------
    name : str
        Of the VM, for logs.
    operators : str
        Address at which operators' orders are accepted.
    links : str
        Address for links from daemons and other control VMs.
    links_listen : str
        Address to listen on for links, if it differs from ``links``; empty if it
        doesn't.
    metrics : str
        Address of the metrics page; empty for none.
    data_folder : str
        Folder for the replicated log, on the VM's disk.
    seeds : list of str
        ``operators`` addresses of some control VMs.
    is_first_start : bool
        Whether the whole system starts for the first time.
    tolerated_losses : int
        Control VMs that may be lost at once.
    order_timeout_s : float
        How long to wait, in seconds, until an operator's order is committed; after
        that its outcome is reported as unconfirmed.
    lease : FleetLeaseSettings
        Leases of targets.
    """

    name: str = _text()
    operators: str = _address()
    links: str = _address()
    data_folder: str = _text()
    links_listen: str = _address_or_empty()
    metrics: str = _text("")
    seeds: list[str] = _addresses()
    is_first_start: bool = attrs.field(default=False, validator=instance_of(bool))
    tolerated_losses: int = _count(1, 0, 50)
    order_timeout_s: float = _seconds(4.0, 0.1, 60)
    lease: FleetLeaseSettings = attrs.field(factory=FleetLeaseSettings)


@attrs.frozen
class BudgetSettings:
    """Limits retries of requests to targets, over all daemons.

    Parameters
    ----------
    ratio : float
        Retries as a fraction of a service's requests.
    window_s : float
        Sliding window over which requests are counted, in seconds.
    slack : int
        Retries allowed in addition, in each window.
    """

    ratio: float = _seconds(0.2, 0, 1)
    window_s: float = _seconds(10.0, 0.1, 600)
    slack: int = _count(0, 0, 1_000_000)


@attrs.frozen
class ColdSettings:
    """What a cold target bears in any second, over all daemons.

    Parameters
    ----------
    ratio : float
        Requests, as a multiple of the cold rate of its service.
    slack : float
        Requests in addition.
    """

    ratio: float = _seconds(1.25, 0.1, 100)
    slack: float = _seconds(0.0, 0, 100_000)


@attrs.frozen
class DaemonSettings:
    """One daemon of a fleet, beside its target.

    Parameters
    ----------
    name, zone : str
        Of the VM.
    callers, readiness, registry, links : str
        Addresses for callers, for the platform's readiness checks, for the target's
        heartbeats, and for links from other daemons.
    links_listen : str
        As for a control VM.
    target : str
        Address of the target.
    service : str
        Service of the target.
    metrics : str
        Address of the metrics page; empty for none.
    seeds : list of str
        ``operators`` addresses of some control VMs.
    drain_s : float
        Time after a target announced that it drains, from which on it gets no new
        requests.
    zone_out_s : float
        Time after a target's availability zone was taken out, from which on it gets no
        requests.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    lease : FleetLeaseSettings
        Leases of targets.
    budget : BudgetSettings
        Limit of retries.
    cold : ColdSettings
        What a cold target bears.
    """

    name: str = _text()
    zone: str = _text()
    callers: str = _address()
    readiness: str = _address()
    registry: str = _address()
    links: str = _address()
    target: str = _address()
    service: str = _text()
    links_listen: str = _address_or_empty()
    metrics: str = _text("")
    seeds: list[str] = _addresses()
    drain_s: float = _seconds(2.0, 0, 600)
    zone_out_s: float = _seconds(5.0, 0, 600)
    grace_s: float = _seconds(6.0, 0.5, 600)
    lease: FleetLeaseSettings = attrs.field(factory=FleetLeaseSettings)
    budget: BudgetSettings = attrs.field(factory=BudgetSettings)
    cold: ColdSettings = attrs.field(factory=ColdSettings)
