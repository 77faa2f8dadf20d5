"""Library functions that implement the commands and may be used by other programs.

They print nothing and report errors as ``TamarackhavenError``.
"""

import http.client
import uuid
from urllib.parse import quote

import attrs

from tamarackhaven import _codec, _events
from tamarackhaven._changes import DeleteResource, PutResource
from tamarackhaven._control_client import ControlClient
from tamarackhaven._metrics import REFUSALS_PATH
from tamarackhaven._model import AvailabilityZone, OwnershipPolicy, Service
from tamarackhaven._refusals import Refusal
from tamarackhaven._settings_file import read_toml
from tamarackhaven._whole_response import connect
from tamarackhaven.errors import ErrorKind, TamarackhavenError

HTTP_TIMEOUT_S = 5.0

# Resources are applied in this order, because later kinds refer to earlier ones.
KIND_BY_NAME = {
    "zone": AvailabilityZone,
    "policy": OwnershipPolicy,
    "service": Service,
}

__all__ = [
    "KIND_BY_NAME",
    "Applied",
    "ControlClient",
    "apply_resource",
    "change_membership",
    "delete_resource",
    "resource_class_named",
    "read_log_lines",
    "new_change_id",
    "read_resources",
    "records",
    "refusals_of",
]


@attrs.frozen
class Applied:
    """Outcome of a change to one resource or member.

    Parameters
    ----------
    kind, name : str
        Kind and name of the resource; kind ``Member`` for a member of the control
        group.
    result : str
        For a resource created, changed, unchanged or deleted; for a member the result
        given to ``change_membership``.
    version : int
        Current version of the resource or of the membership.
    change_id : str
        Id of the change; empty for a member.
    """

    kind: str
    name: str
    result: str
    version: int
    change_id: str


def new_change_id():
    """Return a new, globally unique change id."""
    return uuid.uuid4().hex


def resource_class_named(name):
    """Return the resource class for the name of a kind, such as ``zone``.

    Raises
    ------
    TamarackhavenError
        USAGE if there is no such kind.
    """
    kind = KIND_BY_NAME.get(name)
    if kind is None:
        names = ", ".join(KIND_BY_NAME)
        raise TamarackhavenError(ErrorKind.USAGE, f"{name!r} is not one of {names}.")
    return kind


def read_resources(path):
    """Return the resources in a TOML file, in the order in which to apply them.

    The file has tables ``[[zone]]``, ``[[policy]]`` and ``[[service]]``.

    Raises
    ------
    TamarackhavenError
        SETTINGS_MISSING, SETTINGS_SYNTAX or INVALID_RESOURCE, naming the file.
    """
    tables = read_toml(path)
    unknown = set(tables) - set(KIND_BY_NAME)
    if unknown:
        raise TamarackhavenError(
            ErrorKind.INVALID_RESOURCE, f"{path}: unknown table {min(unknown)!r}."
        )
    resources = []
    for name, kind in KIND_BY_NAME.items():
        for row in tables.get(name, []):
            resources.append(_read_row(path, name, kind, row))
    return resources


def _read_row(path, name, kind, row):
    known = {field.name: field for field in attrs.fields(kind)}
    for key, value in row.items():
        if key not in known:
            detail = f"{path}: {name} has no field {key!r}."
            raise TamarackhavenError(ErrorKind.INVALID_RESOURCE, detail)
        expected_type = known[key].type
        if expected_type in (int, str) and type(value) is not expected_type:
            detail = f"{path}: {name}.{key} must be {_type_name(expected_type)}."
            raise TamarackhavenError(ErrorKind.INVALID_RESOURCE, detail)
    try:
        return _codec.from_plain(row, kind)
    except Exception as error:
        detail = f"{path}: {name} {row.get('name', '')!r} is not valid: {error}"
        raise TamarackhavenError(ErrorKind.INVALID_RESOURCE, detail) from error


def _type_name(expected_type):
    return "a whole number" if expected_type is int else "a string"


def records(client, timeout_s, linearizable=True):
    """Return the state's version and its resources, targets and grants, as a list."""
    feed = client.fetch(0, timeout_s, linearizable)
    found_records = []
    for event in feed.events:
        if isinstance(event, _events.ResourceChanged):
            found_records.append(event.resource)
        elif isinstance(event, _events.TargetChanged):
            found_records.append(event.member)
        elif isinstance(event, _events.ShardChanged):
            found_records.append(event.grant)
    return feed.version, found_records


def apply_resource(client, resource, change_id, timeout_s, allow_last_zone_out=False):
    """Create or change one resource and return ``Applied``.

    A resource with a ``version`` is changed only if that is the current version. If it
    has none, the version read here is expected: of two concurrent operators one gets a
    conflict, and neither overwrites a change that it hasn't read.

    Raises
    ------
    TamarackhavenError
        With the error kind of the refusal.
    """
    old = _find_current(client, type(resource), resource.name, timeout_s)
    kind = type(resource).__name__
    expected = resource.version or (old.version if old else 0)
    desired = attrs.evolve(resource, version=0)
    if old and expected == old.version and attrs.evolve(old, version=0) == desired:
        return Applied(kind, resource.name, "unchanged", old.version, change_id)
    change = PutResource(change_id, desired, expected, allow_last_zone_out)
    outcome = checked(client.change(change, timeout_s))
    result = "changed" if expected else "created"
    return Applied(kind, resource.name, result, outcome.version, change_id)


def delete_resource(client, kind, name, change_id, timeout_s):
    """Delete one resource and return ``Applied``.

    Raises
    ------
    TamarackhavenError
        NOT_FOUND if it doesn't exist; else the error kind of the refusal.
    """
    old = _find_current(client, kind, name, timeout_s)
    if old is None:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{kind.__name__} {name!r}")
    change = DeleteResource(change_id, kind.__name__, name, old.version)
    outcome = checked(client.change(change, timeout_s))
    return Applied(kind.__name__, name, "deleted", outcome.version, change_id)


def change_membership(client, step, result, timeout_s):
    """Apply one membership ``Step`` to the control group and return ``Applied``.

    Raises
    ------
    TamarackhavenError
        MEMBERSHIP_BUSY for a learner that has not caught up; else the error kind of
        the refusal.
    """
    outcome = checked(client.change_membership(step, timeout_s))
    return Applied("Member", step.member.name, result, outcome.version, "")


def refusals_of(address, request_or_decision_id):
    """Return the refusals that a daemon recorded for a request id or decision id.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the daemon's metrics server.
    request_or_decision_id : str
        The request id or decision id.

    Raises
    ------
    TamarackhavenError
        USAGE if the address is not HOST:PORT, OWNER_UNREACHABLE if no daemon answers
        there within ``HTTP_TIMEOUT_S``.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise TamarackhavenError(ErrorKind.USAGE, f"{address!r} is not HOST:PORT.")
    connection = connect(host, int(port), HTTP_TIMEOUT_S)
    try:
        connection.request(
            "GET", REFUSALS_PATH + quote(request_or_decision_id, safe="")
        )
        return _codec.loads(connection.getresponse().read(), list[Refusal])
    except (OSError, http.client.HTTPException) as error:
        raise TamarackhavenError(
            ErrorKind.OWNER_UNREACHABLE, f"{address}: {error!r}"
        ) from error
    finally:
        connection.close()


def checked(outcome):
    """Return an ``Outcome`` if it was applied, else raise its error.

    Raises
    ------
    TamarackhavenError
        With the code and detail of the outcome.
    """
    if outcome.code:
        raise TamarackhavenError(ErrorKind(outcome.code), outcome.detail)
    return outcome


def _find_current(client, kind, name, timeout_s):
    _, found_records = records(client, timeout_s)
    for record in found_records:
        if type(record) is kind and record.name == name:
            return record
    return None


def read_log_lines(paths):
    """Iterate over the lines of log files; the path ``-`` is standard input.

    Raises
    ------
    TamarackhavenError
        NOT_FOUND if a file can't be read; the detail names it.
    """
    for path in paths:
        try:
            with open(0 if path == "-" else path, errors="replace") as log:
                yield from log
        except OSError as error:
            raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{path}: {error}") from error
