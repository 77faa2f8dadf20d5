"""What the steps share: healing a cluster, and asking its control VMs and targets."""

import http.client
import json
import signal
import time

from standin.cluster import HOST, wait_until
from tamarackhaven import plumbing
from tamarackhaven._keys import hash_key, shard_of
from tamarackhaven._model import AvailabilityZone, ShardGrant, TargetMember, ZoneState
from tamarackhaven._settings import ControlMember
from tamarackhaven.errors import TamarackhavenError

KEYS = [f"voyage-{number}" for number in range(120)]
SHARDS = 64
HEAL_S = 60
CALLERS = 16
CALL_S = 5
PROMISES_S = 0.6


def heal(context):
    """Start what has ended, wake what is frozen, take all zones in."""
    cluster = context.cluster
    for name, process in cluster.process_by_name.items():
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            continue
        start_again(cluster, name)
    wait_until(lambda: all_in_step(context), HEAL_S, "every control VM has all")
    # A control VM counts every target as promised for a lease after its start, and
    # grants nothing until then.
    time.sleep(PROMISES_S)
    set_zones(context, ZoneState.IN, "a", "b", "c")
    wait_until(lambda: balanced(context), HEAL_S, "every target owns shards")


def start_again(cluster, name):
    if name in cluster.control_names:
        cluster.start_control(name)
    elif name.startswith("d-"):
        cluster.start_daemon(name.removeprefix("d-"))
    else:
        cluster.start_target(name.removeprefix("t-"))


def all_in_step(context):
    rows = statuses(context).values()
    terms = {(row.leader, row.term, row.applied) for row in rows}
    everybody = len(rows) == len(context.cluster.control_names)
    return everybody and len(terms) == 1 and all(row.leader for row in rows)


def grants(context):
    _, found = plumbing.records(context.client, CALL_S)
    return [record for record in found if isinstance(record, ShardGrant)]


def target_member(context, name):
    _, found = plumbing.records(context.client, CALL_S)
    return next(r for r in found if isinstance(r, TargetMember) and r.target == name)


def balanced(context):
    rows = grants(context)
    owners = {row.owner for row in rows}
    settled = all(row.owner and not row.moving_to for row in rows)
    return settled and owners == set(context.cluster.spec_by_name)


def set_zones(context, state, *names, last=False):
    """Change the state of availability zones; return when the last one is in force."""
    for name in names:
        zone = AvailabilityZone(name, state=state)
        change_id = plumbing.new_change_id()
        plumbing.apply_resource(context.client, zone, change_id, HEAL_S, last)


def keys_of(context, names):
    """Return keys that the targets among the process names own."""
    owners = {name.partition("-")[2] for name in names}
    owned = {row.shard for row in grants(context) if row.owner in owners}
    return [key for key in KEYS if shard_of(hash_key("booking", key), SHARDS) in owned]


def counts(cluster, name):
    """Return what a target counted; it has to be running."""
    port = cluster.ports_by_name[name].target
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request("GET", "/counts")
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def member(cluster, name):
    return ControlMember(name, HOST, *cluster.control_ports[name])


def statuses(context):
    """Return by name what the control VMs that answer say of the group."""
    found = {}
    for name in context.cluster.control_names:
        try:
            found[name] = context.client.status(member(context.cluster, name), 1)
        except TamarackhavenError:
            continue
    return found


def leader(context):
    """Return the status of the leader that most of those who answer follow."""
    found = []

    def is_led():
        rows = statuses(context).values()
        names = [row.leader for row in rows if row.leader]
        leading = [row for row in rows if row.role == "leader"]
        found[:] = [r for r in leading if names.count(r.member) * 2 > len(names)]
        return found

    wait_until(is_led, HEAL_S, "a leader")
    return found[0]


def follower(context):
    led = leader(context).member
    return next(name for name in statuses(context) if name != led)
