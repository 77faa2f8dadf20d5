"""Steps that start one process with a mistake and read how it ends."""

import contextlib
import socket

from behave import then, when

from standin.cluster import HOST, STOP_S, wait_until

NAME_BY_ROLE = {"daemon": "d-t1", "control": "c1"}


def start(context, role):
    """Start the one daemon, or the first control VM, of a cluster that is down."""
    context.path = context.cluster.folder / NAME_BY_ROLE[role] / "settings.toml"
    if role == "daemon":
        context.cluster.start_daemon("t1")
    else:
        context.cluster.start_control("c1", "--first-start")


@when('a {role} starts with "{old}" replaced by "{new}" in its settings')
def starts_wrong(context, role, old, new):
    path = context.cluster.folder / NAME_BY_ROLE[role] / "settings.toml"
    right = path.read_text()
    assert old in right, right
    path.write_text(right.replace(old, new, 1))
    start(context, role)
    context.ended = NAME_BY_ROLE[role]


@when("a daemon starts with a settings file that is not there")
def starts_without(context):
    (context.cluster.folder / NAME_BY_ROLE["daemon"] / "settings.toml").unlink()
    start(context, "daemon")
    context.ended = NAME_BY_ROLE["daemon"]


@when('a {role} starts while its "{name}" port is taken')
def starts_on_taken(context, role, name):
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
    """Wait for the process and return its exit code and all that it printed."""
    code = context.cluster.process_by_name[context.ended].wait(STOP_S * 2)
    return code, (context.cluster.folder / f"out-{context.ended}").read_text()


def told(context, code, *words):
    found, text = ended(context)
    context.measured.append(f"{found}: {text.strip()}")
    assert found == code, (found, text)
    for word in words:
        assert word in text, (word, text)
    assert "Traceback" not in text, text


@then('it ends with {code:d} and tells "{kind}", the file and "{key}"')
def told_of_file(context, code, kind, key):
    told(context, code, kind, str(context.path), key)


@then('it ends with {code:d} and tells "{kind}" and that port')
def told_of_port(context, code, kind):
    told(context, code, kind, str(context.port))


@then('it ends with {code:d} and tells "{kind}" and the folder')
def told_of_folder(context, code, kind):
    told(context, code, kind, str(context.path.parent))


@then("the first one still runs")
def first_runs(context):
    assert context.first.poll() is None
