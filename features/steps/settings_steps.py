"""Steps that start a process with a wrong setup, and check its exit code and output."""

import contextlib
import socket

from behave import then, when

from standin.cluster import HOST, STOP_S, wait_until

NAME_BY_ROLE = {"daemon": "d-t1", "control": "c1"}


def start(context, role):
    """Start the only daemon, or the first control VM, of a stopped cluster."""
    context.path = context.cluster.folder / NAME_BY_ROLE[role] / "settings.toml"
    if role == "daemon":
        context.cluster.start_daemon("t1")
    else:
        context.cluster.start_control("c1", "--first-start")


@when('a {role} starts with "{old}" replaced by "{new}" in its settings')
def starts_with_changed_settings(context, role, old, new):
    path = context.cluster.folder / NAME_BY_ROLE[role] / "settings.toml"
    original = path.read_text()
    assert old in original, original
    path.write_text(original.replace(old, new, 1))
    start(context, role)
    context.ended = NAME_BY_ROLE[role]


@when("a daemon starts with a settings file that is not there")
def starts_without_settings(context):
    (context.cluster.folder / NAME_BY_ROLE["daemon"] / "settings.toml").unlink()
    start(context, "daemon")
    context.ended = NAME_BY_ROLE["daemon"]


@when('a {role} starts while its "{name}" port is taken')
def starts_on_port_in_use(context, role, name):
    if role == "daemon":
        context.port = getattr(context.cluster.ports_by_name["t1"], name)
    else:
        port, lease_port = context.cluster.control_ports["c1"]
        metrics_port = context.cluster.metrics_port_by_name["c1"]
        by_name = {"port": port, "lease": lease_port, "metrics": metrics_port}
        context.port = by_name[name]
    kind = socket.SOCK_DGRAM if name == "lease" else socket.SOCK_STREAM
    with contextlib.closing(socket.socket(type=kind)) as taken:
        taken.bind((HOST, context.port))
        if kind is socket.SOCK_STREAM:
            taken.listen()
        start(context, role)
        context.ended = NAME_BY_ROLE[role]
        ended(context)


@when("a control VM runs and a second process starts on its folder")
def starts_twice(context):
    start(context, "control")
    context.first = context.cluster.process_by_name["c1"]
    log = context.cluster.folder / "c1" / "log"
    wait_until(lambda: log.exists() and "started" in log.read_text(), 30, "c1")
    context.processes.append(context.first)
    start(context, "control")
    context.ended = "c1"


def ended(context):
    """Wait for the process and return its exit code and its output."""
    code = context.cluster.process_by_name[context.ended].wait(STOP_S * 2)
    return code, (context.cluster.folder / f"out-{context.ended}").read_text()


def check_exit(context, code, *words):
    exit_code, text = ended(context)
    context.measured.append(f"{exit_code}: {text.strip()}")
    assert exit_code == code, (exit_code, text)
    for word in words:
        assert word in text, (word, text)
    assert "Traceback" not in text, text


@then('it ends with {code:d} and tells "{kind}", the file and "{key}"')
def exits_naming_file(context, code, kind, key):
    check_exit(context, code, kind, str(context.path), key)


@then('it ends with {code:d} and tells "{kind}" and that port')
def exits_naming_port(context, code, kind):
    check_exit(context, code, kind, str(context.port))


@then('it ends with {code:d} and tells "{kind}" and the folder')
def exits_naming_folder(context, code, kind):
    check_exit(context, code, kind, str(context.path.parent))


@then("the first one still runs")
def first_still_runs(context):
    assert context.first.poll() is None
