"""Helpers of the steps: restore a cluster, and query its control VMs and targets."""

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
SHARD_COUNT = 64
RECOVERY_TIMEOUT_S = 60
CALLER_COUNT = 16
CALL_TIMEOUT_S = 5
LEASE_PROMISE_WAIT_S = 0.6


def restore_cluster(context):
    """Start ended processes, resume frozen ones, and set all zones to in."""
    cluster = context.cluster
    for name, process in cluster.process_by_name.items():
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            continue
        restart(cluster, name)
    wait_until(
        lambda: is_group_consistent(context),
        RECOVERY_TIMEOUT_S,
        "all control VMs in the same state",
    )
    # For the time of a lease after its start, a control VM takes every target for one
    # that was promised a lease, and grants nothing.
    time.sleep(LEASE_PROMISE_WAIT_S)
    set_zones(context, ZoneState.IN, "a", "b", "c")
    wait_until(
        lambda: is_balanced(context), RECOVERY_TIMEOUT_S, "every target owns shards"
    )


def restart(cluster, name):
    if name in cluster.control_names:
        cluster.start_control(name)
    elif name.startswith("d-"):
        cluster.start_daemon(name.removeprefix("d-"))
    else:
        cluster.start_target(name.removeprefix("t-"))


def is_group_consistent(context):
    rows = statuses(context).values()
    terms = {(row.leader, row.term, row.applied) for row in rows}
    is_complete = len(rows) == len(context.cluster.control_names)
    return is_complete and len(terms) == 1 and all(row.leader for row in rows)


def grants(context):
    _, found = plumbing.records(context.client, CALL_TIMEOUT_S)
    return [record for record in found if isinstance(record, ShardGrant)]


def target_member(context, name):
    _, found = plumbing.records(context.client, CALL_TIMEOUT_S)
    return next(r for r in found if isinstance(r, TargetMember) and r.target == name)


def is_balanced(context):
    rows = grants(context)
    owners = {row.owner for row in rows}
    settled = all(row.owner and not row.moving_to for row in rows)
    return settled and owners == set(context.cluster.spec_by_name)


def set_zones(context, state, *names, last=False):
    """Change the state of availability zones; return when the last is in force."""
    for name in names:
        zone = AvailabilityZone(name, state=state)
        change_id = plumbing.new_change_id()
        plumbing.apply_resource(
            context.client, zone, change_id, RECOVERY_TIMEOUT_S, last
        )


def keys_of(context, names):
    """Return the keys that are owned by the targets of the named processes."""
    owners = {name.partition("-")[2] for name in names}
    owned = {row.shard for row in grants(context) if row.owner in owners}
    return [
        key for key in KEYS if shard_of(hash_key("booking", key), SHARD_COUNT) in owned
    ]


def target_counts(cluster, name):
    """Return the counters of a running target."""
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
    """Return the status of the group at each control VM that answers, by its name."""
    found = {}
    for name in context.cluster.control_names:
        try:
            found[name] = context.client.status(member(context.cluster, name), 1)
        except TamarackhavenError:
            continue
    return found


def leader(context):
    """Return the status of the leader that most answering control VMs follow."""
    found = []

    def is_led():
        rows = statuses(context).values()
        names = [row.leader for row in rows if row.leader]
        leading = [row for row in rows if row.role == "leader"]
        found[:] = [r for r in leading if names.count(r.member) * 2 > len(names)]
        return found

    wait_until(is_led, RECOVERY_TIMEOUT_S, "a leader")
    return found[0]


def follower(context):
    leader_name = leader(context).member
    return next(name for name in statuses(context) if name != leader_name)
