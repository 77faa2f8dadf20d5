"""Checks by which configuration requests on changing routes are handled."""

import collections
import contextlib
import time

import attrs

# A daemon in touch handles a request by no version that was replaced by one that was
# acknowledged longer than this before the request was sent.
CONFIG_DEADLINE_S = 2.0
# A daemon is in touch if neither its process, nor any control VM, nor the links to them
# were disturbed for this long.
CONTACT_S = 3.0
# Key of disturbances that affect all daemons.
CONTROL_GROUP = "control group"
MOVING_PREFIXES = tuple(f"/m{number}/" for number in range(12))
MOVING_SERVICES = ("owned", "shared")


@attrs.define
class DeclaredVersion:
    """A configuration that an operator has sent.

    Parameters
    ----------
    number : int
        Its version.
    service_by_prefix : dict
        Services of the moving routes that it has.
    sent_s, acknowledged_s : float
        Times of ``time.monotonic()``; infinite if it wasn't acknowledged.
    """

    number: int
    service_by_prefix: dict
    sent_s: float
    acknowledged_s: float = float("inf")


@attrs.frozen
class _Attempt:
    """A request on a moving route: daemon, prefix, and when it was sent."""

    vm: str
    prefix: str
    sent_s: float


@attrs.define
class RouteWatch:
    """What operators have declared, and who handled the requests on moving routes.

    Attributes
    ----------
    judged : int
        Requests that a daemon in touch has handled.
    """

    judged: int = 0
    _version_by_number: dict = attrs.field(factory=dict)
    _attempt_by_id: dict = attrs.field(factory=dict)
    _open_disturbances: collections.Counter = attrs.field(factory=collections.Counter)
    _disturbed_s_by_vm: dict = attrs.field(factory=dict)

    # Operators.

    def declare(self, number, service_by_prefix):
        """Record that a version is about to be sent."""
        self._version_by_number[number] = DeclaredVersion(
            number, dict(service_by_prefix), time.monotonic()
        )

    def acknowledge(self, number):
        """Record that a version was acknowledged."""
        version = self._version_by_number[number]
        version.acknowledged_s = min(version.acknowledged_s, time.monotonic())

    def refuse(self, number):
        """Record that a version was refused, and so must not be in force."""
        del self._version_by_number[number]

    def services(self, number):
        """Return the services of the moving routes of a version, by prefix."""
        return dict(self._version_by_number[number].service_by_prefix)

    # Disturbances.

    @contextlib.contextmanager
    def disturbed(self, vm):
        """Excuse a daemon, or all of them, meanwhile and shortly after."""
        self._open_disturbances[vm] += 1
        try:
            yield
        finally:
            self._open_disturbances[vm] -= 1
            self.disturb(vm)

    def disturb(self, vm):
        """Excuse a daemon, or all, for a disturbance of a moment."""
        self._disturbed_s_by_vm[vm] = time.monotonic()

    def is_in_touch(self, vm, at_s):
        """Whether a daemon has been in touch from ``CONTACT_S`` before ``at_s`` on."""
        return not any(
            self._open_disturbances[each]
            or self._disturbed_s_by_vm.get(each, float("-inf")) > at_s - CONTACT_S
            for each in (vm, CONTROL_GROUP)
        )

    # Requests.

    def sent(self, attempt, vm, prefix):
        """Record that a request is sent to a daemon."""
        self._attempt_by_id[attempt] = _Attempt(vm, prefix, time.monotonic())

    def handled(self, attempt, service):
        """Check who handles a request; return what is wrong, None if nothing is.

        Parameters
        ----------
        attempt : str
            Its id; others than those of moving routes are ignored.
        service : str or None
            The service that runs it; None if the caller was told that no route exists.
        """
        request = self._attempt_by_id.get(attempt)
        if request is None or not self.is_in_touch(request.vm, request.sent_s):
            return None
        self.judged += 1
        base, later = self._versions_in_force(request.sent_s)
        versions = [base, *later] if base is not None else later
        allowed = {each.service_by_prefix.get(request.prefix) for each in versions}
        if base is None or service in allowed:
            return None
        return (
            f"{attempt} on {request.prefix} at {request.vm}: {service}, allowed"
            f" {sorted(map(str, allowed))} by r{base.number} and {len(later)} later,"
            f" sent {request.sent_s - base.acknowledged_s:.2f} s after r{base.number}"
        )

    def _versions_in_force(self, sent_s):
        """Return the version that must be known, and all later ones.

        A version without a definite answer may or may not be in force.
        """
        due_s = sent_s - CONFIG_DEADLINE_S
        versions = self._version_by_number.values()
        known = [each for each in versions if each.acknowledged_s <= due_s]
        base = max(known, key=lambda each: each.number, default=None)
        number = base.number if base is not None else 0
        return base, [each for each in versions if each.number > number]


def path_routes(service_by_prefix):
    """Return the declarations of moving routes."""
    return [
        {
            "name": prefix.strip("/"),
            "path_prefix": prefix,
            "kind": "safe",
            "timeout_s": 2.0,
            "target_latency_s": 1.0,
            "service": service,
            "max_attempts": 2,
        }
        for prefix, service in service_by_prefix.items()
    ]


def draw_change(rng, present, former):
    """Return the services of the moving routes after one more change.

    Parameters
    ----------
    rng : random.Random
        Chooses the change.
    present, former : dict
        Services by prefix of the present version and of the one before. Half of the
        changes are taken back.
    """
    if rng.random() < 0.5 and present != former:
        return dict(former)
    changed = dict(present)
    prefix = rng.choice(MOVING_PREFIXES)
    service = rng.choice((*MOVING_SERVICES, None))
    if service is None:
        changed.pop(prefix, None)
    else:
        changed[prefix] = service
    return changed
