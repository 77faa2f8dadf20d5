"""The commands: a thin layer over ``plumbing`` that prints text or JSON."""

import contextlib
import json
import signal
import sys
import threading
from typing import Literal

from tamarackhaven import _codec, _ends, _losses, _trace, plumbing
from tamarackhaven._members import Member, Step
from tamarackhaven._model import ShardGrant, TargetMember
from tamarackhaven._settings import ControlSettings, DaemonSettings, OperatorSettings
from tamarackhaven._settings_file import load_settings
from tamarackhaven.errors import ErrorKind, TamarackhavenError

Output = Literal["text", "json"]
Role = Literal["daemon", "control", "operator"]

SETTINGS_BY_ROLE = {
    "daemon": DaemonSettings,
    "control": ControlSettings,
    "operator": OperatorSettings,
}


def daemon(*, settings: str):
    """Run the daemon next to a target until SIGTERM.

    :param settings: Path of the daemon's TOML file.
    """
    from tamarackhaven._daemon_process import DaemonProcess

    stop = _stop_event()
    with _path_in_port_errors(settings):
        process = DaemonProcess(load_settings(settings, DaemonSettings))
    process.start()
    stop.wait()
    process.leave()


def control(*, settings: str, first_start: bool = False):
    """Run a control VM until SIGTERM.

    :param settings: Path of the control VM's TOML file.
    :param first_start: Start a new group. Use only for the very first start. Without it
        an empty data folder counts as lost, and a member that lost its data folder may
        not vote.
    """
    from tamarackhaven._control_process import run_control

    loaded = load_settings(settings, ControlSettings)
    with _path_in_port_errors(settings):
        run_control(loaded, first_start, _stop_event())


def apply(
    file: str,
    *,
    settings: str,
    change_id: str = "",
    allow_last_zone_out: bool = False,
    output: Output = "text",
):
    """Create or change the resources in a TOML file.

    :param file: Path of a file with [[zone]], [[policy]] and [[service]] tables.
    :param settings: Path of the operator's TOML file.
    :param change_id: Repeat it to resend a change whose answer was lost.
    :param allow_last_zone_out: Allow taking out the last availability zone.
    :param output: text or json.
    """
    resources = plumbing.read_resources(file)
    change_id = change_id or plumbing.new_change_id()
    with _ControlSession(settings) as session:
        for resource in resources:
            applied = plumbing.apply_resource(
                session.calls,
                resource,
                f"{change_id}/{type(resource).__name__}/{resource.name}",
                session.timeout_s,
                allow_last_zone_out,
            )
            _print_record(applied, output, _applied_text(applied))


def delete(
    kind: str,
    name: str,
    *,
    settings: str,
    change_id: str = "",
    output: Output = "text",
):
    """Delete a resource.

    :param kind: zone, policy or service.
    :param name: Its name.
    :param settings: Path of the operator's TOML file.
    :param change_id: Repeat it to resend a change whose answer was lost.
    :param output: text or json.
    """
    resource_kind = plumbing.resource_class_named(kind)
    with _ControlSession(settings) as session:
        applied = plumbing.delete_resource(
            session.calls,
            resource_kind,
            name,
            change_id or plumbing.new_change_id(),
            session.timeout_s,
        )
    _print_record(applied, output, _applied_text(applied))


def get(
    kind: str = "",
    name: str = "",
    *,
    settings: str,
    output: Output = "text",
):
    """Print the resources, targets and shards in force.

    :param kind: zone, policy, service, target or shard; empty for all except shards.
    :param name: Only the record with this name.
    :param settings: Path of the operator's TOML file.
    :param output: text or json.
    """
    kinds = plumbing.KIND_BY_NAME | {"target": TargetMember, "shard": ShardGrant}
    if kind and kind not in kinds:
        raise TamarackhavenError(
            ErrorKind.USAGE, f"{kind!r} is not one of {', '.join(kinds)}."
        )
    with _ControlSession(settings) as session:
        _, records = plumbing.records(session.calls, session.timeout_s)
    shown = 0
    for record in records:
        is_selected = (
            isinstance(record, kinds[kind]) if kind else _is_listed_by_default(record)
        )
        if is_selected and name in ("", _record_name(record)):
            shown += 1
            _print_record(record, output, str(record))
    if name and not shown:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"{kind} {name!r}")


def watch(
    *,
    settings: str,
    from_version: int = 0,
    until_version: int = 0,
    output: Output = "text",
):
    """Stream all changes from a version on, until interrupted.

    :param settings: Path of the operator's TOML file.
    :param from_version: Version to start from; 0 starts with everything in force.
    :param until_version: Stop once this version is in force; 0 streams without end.
    :param output: text or json.
    """
    with _ControlSession(settings) as session:
        for feed in session.calls.watch(from_version, session.timeout_s):
            if feed.snapshot:
                line = {"version": feed.version, "snapshot": True}
                _print_output(line, output, f"{feed.version} snapshot")
            for event in feed.events:
                _print_record(event, output, f"{event.version} {event}")
            sys.stdout.flush()
            if until_version and feed.version >= until_version:
                return


def explain(
    subject: str = "",
    key: str = "",
    *,
    settings: str,
    decision: str = "",
    request: str = "",
    daemon: str = "",
    limit: int = 20,
    output: Output = "text",
):
    """Print recorded decisions about a service, key, resource or request, with causes.

    :param subject: A service, or a resource as Kind/name; empty for all.
    :param key: Only decisions about this key of the service.
    :param settings: Path of the operator's TOML file.
    :param decision: Only the decision with this id.
    :param request: Print why a daemon refused the request with this request id or
        decision id.
    :param daemon: HOST:PORT of that daemon's metrics page, with --request.
    :param limit: Maximum number of decisions printed.
    :param output: text or json.
    """
    if request:
        _explain_request(request, daemon, output)
        return
    with _ControlSession(settings) as session:
        decisions = session.calls.explain(
            subject, key, decision, limit, session.timeout_s
        )
    for row in decisions:
        text = f"{row.decision_id} {row.subject}: {row.cause}: {row.result}"
        _print_record(row, output, text)
    if decision and not decisions:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"decision {decision!r}")


def _explain_request(request, daemon, output):
    if not daemon:
        raise TamarackhavenError(
            ErrorKind.USAGE, "--request requires --daemon HOST:PORT."
        )
    refusals = plumbing.refusals_of(daemon, request)
    for row in refusals:
        text = f"{row.at_unix_s:.3f} {row.code} {row.name}: {row.detail} "
        _print_record(row, output, f"{text}(map version {row.map_version})")
    if not refusals:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"request {request!r}")


def trace(request: str, *logs: str, near: bool = False, output: Output = "text"):
    """Print the log lines of a request, from the collected logs of a fleet.

    :param request: The attempt id that the caller sent.
    :param logs: Log files of all daemons and control VMs; - for standard input.
    :param near: Also print other decisions from around that time.
    :param output: text or json.
    """
    lines = _trace.trace(
        _trace.read_lines(plumbing.read_log_lines(logs)), request, near
    )
    if not lines:
        raise TamarackhavenError(ErrorKind.NOT_FOUND, f"request {request!r}")
    for line in lines:
        _print_record(line, output, line.text)


def losses(*logs: str, output: Output = "text"):
    """Print failed, refused and late requests by route and cause, from a fleet's logs.

    :param logs: Log files of all daemons; - for standard input.
    :param output: text or json.
    """
    for loss in _losses.losses(_trace.read_lines(plumbing.read_log_lines(logs))):
        _print_record(loss, output, loss.text)


def ends(*logs: str, least: int = 2, output: Output = "text"):
    """Print the requests under which targets have ended, from a fleet's logs.

    :param logs: Log files of all daemons; - for standard input.
    :param least: Leave out requests with fewer ends.
    :param output: text or json.
    """
    for found in _ends.ends(_trace.read_lines(plumbing.read_log_lines(logs))):
        if found.ends >= least:
            _print_record(found, output, found.text)


def status(*, settings: str, output: Output = "text"):
    """Print the status of the control group as reported by each control VM.

    :param settings: Path of the operator's TOML file.
    :param output: text or json.
    """
    answered = 0
    with _ControlSession(settings) as session:
        for member in session.members:
            try:
                row = session.calls.status(member, session.timeout_s / 5)
            except TamarackhavenError as error:
                print(str(error), file=sys.stderr)
                continue
            answered += 1
            text = f"{row.member} {row.role} term {row.term} applied {row.applied}"
            _print_record(row, output, f"{text} leader {row.leader or 'unknown'}")
    if not answered:
        raise TamarackhavenError(ErrorKind.CONTROL_UNREACHABLE)


def member_add(
    name: str,
    host: str,
    port: int,
    lease_port: int,
    *,
    settings: str,
    output: Output = "text",
):
    """Add a control VM to the group, as a learner without a vote.

    :param name: A name that no member has had. A control VM that lost its data folder
        needs a new name.
    :param host: Its IP address.
    :param port: Its TCP port for calls.
    :param lease_port: Its UDP port for lease renewals.
    :param settings: Path of the operator's TOML file.
    :param output: text or json.
    """
    member = Member(name, host, port, lease_port, voter=False)
    _change_membership(Step("add", member), "added", settings, output)


def member_promote(name: str, *, settings: str, output: Output = "text"):
    """Make a learner that has caught up a voter.

    :param name: Its name.
    :param settings: Path of the operator's TOML file.
    :param output: text or json.
    """
    step = Step("promote", Member(name, "", 0, 0))
    _change_membership(step, "promoted", settings, output)


def member_remove(name: str, *, settings: str, output: Output = "text"):
    """Remove a control VM from the group.

    :param name: Its name.
    :param settings: Path of the operator's TOML file.
    :param output: text or json.
    """
    step = Step("remove", Member(name, "", 0, 0))
    _change_membership(step, "removed", settings, output)


def _change_membership(step, result, settings, output):
    with _ControlSession(settings) as session:
        applied = plumbing.change_membership(
            session.calls, step, result, session.timeout_s
        )
    _print_record(applied, output, _applied_text(applied))


def check(file: str, *, role: Role):
    """Check a settings file without starting anything.

    :param file: Path of the TOML file.
    :param role: daemon, control or operator.
    """
    load_settings(file, SETTINGS_BY_ROLE[role])
    print(f"{file}: ok")


class _ControlSession:
    """Context manager for calls to the control VMs of an operator's settings file."""

    def __init__(self, settings_path):
        settings = load_settings(settings_path, OperatorSettings)
        self.members = settings.control
        self.timeout_s = settings.timeout_ms / 1000
        self.calls = plumbing.ControlClient(settings.control)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.calls.close()


@contextlib.contextmanager
def _path_in_port_errors(path):
    """Add the path of the settings file to a PORT_TAKEN error."""
    try:
        yield
    except TamarackhavenError as error:
        if error.kind is not ErrorKind.PORT_TAKEN:
            raise
        raise TamarackhavenError(error.kind, f"{path}: {error.detail}") from error


def _stop_event():
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    return stop


def _is_listed_by_default(record):
    return not isinstance(record, ShardGrant)


def _record_name(record):
    if isinstance(record, ShardGrant):
        return f"{record.service}/{record.shard}"
    if isinstance(record, TargetMember):
        return f"{record.service}/{record.target}"
    return record.name


def _applied_text(applied):
    return f"{applied.kind} {applied.name}: {applied.result}, version {applied.version}"


def _print_record(record, output, text):
    _print_output(_codec.to_plain(record), output, text)


def _print_output(plain, output, text):
    print(json.dumps(plain, sort_keys=True) if output == "json" else text)
