"""Steps that kill or freeze control VMs, change resources and read them back."""

import json
import shutil
import signal
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
from behave import then, when

from features.support import (
    CALL_TIMEOUT_S,
    KEYS,
    RECOVERY_TIMEOUT_S,
    follower,
    grants,
    keys_of,
    leader,
    member,
    restart,
)
from standin.cluster import HOST, ROOT, STOP_S, wait_until
from standin.load import ask
from tamarackhaven import plumbing
from tamarackhaven._control_client import ControlClient
from tamarackhaven._model import OwnershipPolicy
from tamarackhaven.errors import TamarackhavenError

POLICY = "one-owner"
PINNED_KEYS_MODULUS = 500
LOOKUP_THREADS = 12


def policy(client):
    _, found = plumbing.records(client, CALL_TIMEOUT_S)
    return next(r for r in found if isinstance(r, OwnershipPolicy))


def grant_by_shard(context):
    return {row.shard: row for row in grants(context)}


@when("a change is acknowledged")
def one_change(context):
    changes(context, 1)


@when("{count:d} changes are acknowledged")
def changes(context, count):
    start = time.monotonic()
    current = policy(context.client)
    for _ in range(count):
        max_pinned_keys = current.max_pinned_keys % PINNED_KEYS_MODULUS + 1
        wanted = attrs.evolve(current, max_pinned_keys=max_pinned_keys)
        change_id = plumbing.new_change_id()
        done = plumbing.apply_resource(
            context.client, wanted, change_id, CALL_TIMEOUT_S
        )
        assert done.version > current.version, (done, current)
        current = attrs.evolve(wanted, version=done.version)
    context.acknowledged = current
    context.grants_before = grant_by_shard(context)
    if count > 1:
        elapsed_s = time.monotonic() - start
        context.measured.append(f"{count} changes in {elapsed_s:.1f} s")


@then("the acknowledged changes are in force")
def acknowledged_in_force(context):
    assert policy(context.client) == context.acknowledged


def kill_leader(context, *names):
    name = leader(context).member
    context.grants_before = grant_by_shard(context)
    context.killed_keys = keys_of(context, names)
    context.killed_s = time.monotonic()
    context.cluster.kill(name, *names)


@when("the leader is killed")
def leader_killed(context):
    kill_leader(context)


@when('the leader, "{first}" and "{second}" are killed')
def leader_and_owner_killed(context, first, second):
    kill_leader(context, first, second)
    context.killed_owner = first.partition("-")[2]


@then("no grant has changed")
def no_grant_changed(context):
    new = leader(context)
    assert grant_by_shard(context) == context.grants_before
    context.measured.append(f"term {new.term}")


@then("no shard of a living owner has moved")
def living_owners_keep_shards(context):
    now = grant_by_shard(context)
    for shard, before in context.grants_before.items():
        if before.owner != context.killed_owner:
            assert now[shard].grant == before.grant, (before, now[shard])


@then('the only answers are "{names}"')
def only_answers(context, names):
    context.load.stop()
    other = set(context.load.answers) - set(names.split(", "))
    assert not other, context.load.answers


@when("a follower is frozen")
def follower_frozen(context):
    context.leader_before = leader(context)
    freeze(context, follower(context))


@when("the leader is frozen")
def leader_frozen(context):
    context.grants_before = grant_by_shard(context)
    freeze(context, leader(context).member)


def freeze(context, name):
    context.frozen = name
    context.cluster.send_signal(name, signal.SIGSTOP)


@when("the frozen control VM is woken")
def control_resumed(context):
    context.cluster.send_signal(context.frozen, signal.SIGCONT)


@then("get through it shows the last change")
def get_shows_last_change(context):
    client = ControlClient([member(context.cluster, context.frozen)])
    try:
        assert policy(client) == context.acknowledged
    finally:
        client.close()


@then("a watch through it shows no older version")
def watch_shows_no_older(context):
    client = ControlClient([member(context.cluster, context.frozen)])
    version = context.acknowledged.version
    try:
        feed = next(client.watch(version - 1, CALL_TIMEOUT_S))
        assert feed.version >= version, feed
        assert all(event.version >= version for event in feed.events), feed
    finally:
        client.close()


@then("the leader and its term are the same")
def leader_same(context):
    now, before = leader(context), context.leader_before
    context.measured.append(f"leader {now.member} term {now.term}")
    assert (now.member, now.term) == (before.member, before.term)


@when("two operators apply changes of the same version at once")
def concurrent_changes(context):
    cluster, current = context.cluster, policy(context.client)
    operator = str(cluster.folder / "operator" / "settings.toml")
    context.concurrent_applies = []
    for number in (1, 2):
        max_pinned_keys = (current.max_pinned_keys + number) % PINNED_KEYS_MODULUS
        path = cluster.folder / f"race-{number}.toml"
        path.write_text(
            f'[[policy]]\nname = "{POLICY}"\nmove_batch = {current.move_batch}\n'
            f"max_pinned_keys = {max_pinned_keys}\nversion = {current.version}\n"
        )
        words = ["apply", str(path), "--settings", operator, "--output", "json"]
        command = [*cluster.program, *words, "--change-id", f"race-{path}"]
        context.concurrent_applies.append((max_pinned_keys, command))
    running = [run(context, command) for _, command in context.concurrent_applies]
    outputs = [process.communicate(timeout=60) for process in running]
    context.outcomes = [
        (process.returncode, *output)
        for process, output in zip(running, outputs, strict=True)
    ]


def run(context, command):
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.processes.append(process)
    return process


@then('one exits with 0 and the other with {code:d} and "{words}"')
def one_change_wins(context, code, words):
    codes = sorted(outcome[0] for outcome in context.outcomes)
    assert codes == [0, code], context.outcomes
    loser = next(outcome for outcome in context.outcomes if outcome[0])
    assert words in loser[2], loser


@then("the winner's change sent again gets its first version")
def winner_resent(context):
    winner = [outcome[0] for outcome in context.outcomes].index(0)
    context.winner_max_pinned_keys, command = context.concurrent_applies[winner]
    first = json.loads(context.outcomes[winner][1])["version"]
    again = run(context, command)
    out, _ = again.communicate(timeout=60)
    assert json.loads(out)["version"] == first, out


@then("the winner's change is in force")
def winner_in_force(context):
    assert policy(context.client).max_pinned_keys == context.winner_max_pinned_keys


@when("a watcher has seen the state and ends")
def watcher_ends(context):
    context.seen = []
    watch(context, 0, policy(context.client).version)


@when("the watcher starts from its last version")
def watcher_again(context):
    last = context.seen[-1]["version"]
    context.seen.append({"started-from": last})
    watch(context, last, context.acknowledged.version)


def watch(context, from_version, until_version):
    done = context.cluster.command(
        *("watch", "--output", "json", "--from-version", str(from_version)),
        *("--until-version", str(until_version)),
    )
    context.seen += [json.loads(line) for line in done.stdout.splitlines()]


@then("its versions rise and its view is what is in force")
def view_in_force(context):
    at = [i for i, row in enumerate(context.seen) if "started-from" in row][0]
    last, after = context.seen[at]["started-from"], context.seen[at + 1 :]
    snapshot = bool(after[0].get("snapshot"))
    events = after[snapshot:]
    versions = [row["version"] for row in events]
    if not snapshot:
        assert versions == sorted(versions), versions
        assert versions[0] > last, (last, versions)
    found = [r["resource"] for r in events if "resource" in r]
    policies = [row for row in found if row.get("name") == POLICY]
    assert policies[-1]["version"] == context.acknowledged.version, policies[-1]
    assert policies[-1]["max_pinned_keys"] == context.acknowledged.max_pinned_keys
    context.measured.append(
        f"{len(events)} events after {last}, snapshot {snapshot}, last {versions[-1]}"
    )


@when("a follower starts again")
def follower_again(context):
    name = follower(context)
    context.cluster.kill(name)
    restart(context.cluster, name)


@when("the leader gets SIGTERM")
def leader_terminated(context):
    context.grants_before = grant_by_shard(context)
    context.exit_code = context.cluster.terminate(leader(context).member)


@then("it exits with {code:d}")
def exits_with(context, code):
    assert context.exit_code == code, context.exit_code


@when('two control VMs, "{first}" and "{second}" are killed')
def majority_killed(context, first, second):
    context.killed_controls = context.cluster.control_names[:2]
    context.killed_s = time.monotonic()
    context.cluster.kill(*context.killed_controls, first, second)


@when("the killed control VMs start again")
def controls_again(context):
    for name in context.killed_controls:
        restart(context.cluster, name)


@then('every lookup at "{name}" is refused with "did not run" within {seconds:g} s')
def all_refused(context, name, seconds):
    port = context.cluster.ports_by_name[name].caller
    answers = []

    def refused():
        with ThreadPoolExecutor(LOOKUP_THREADS) as executor:
            asked = executor.map(lambda key: ask(port, "booking", key), KEYS)
            answers[:] = list(asked)
        return all(a.status and a.error and a.ran == "no" for a in answers)

    wait_until(refused, seconds, "only refusals")
    elapsed_s = time.monotonic() - context.killed_s
    errors = sorted({answer.error for answer in answers})
    context.measured.append(f"only {errors} after {elapsed_s:.1f} s")
    assert all(answer.retry_after_s > 0 for answer in answers), answers


@when("a follower is killed and its folder is removed")
def folder_removed(context):
    cluster = context.cluster
    context.lost = follower(context)
    cluster.kill(context.lost)
    settings = (cluster.folder / context.lost / "settings.toml").read_text()
    shutil.rmtree(cluster.folder / context.lost)
    (cluster.folder / context.lost).mkdir()
    (cluster.folder / context.lost / "settings.toml").write_text(settings)


@then('its start exits with {code:d} and "{words}"')
def start_refused(context, code, words):
    cluster = context.cluster
    restart(cluster, context.lost)
    process = cluster.process_by_name.pop(context.lost)
    assert process.wait(STOP_S * 2) == code, process.returncode
    out = (cluster.folder / f"out-{context.lost}").read_text()
    assert words in out, out


@when('"{name}" joins, is promoted, and the lost one is removed')
def lost_member_replaced(context, name):
    cluster = context.cluster
    start = time.monotonic()
    port, lease_port = cluster.add_control(name)
    # It is started first, because it asks the group at its start whether its name is
    # new.
    cluster.start_control(name)
    wait_until(lambda: answers(context, name), RECOVERY_TIMEOUT_S, f"{name} answers")
    cluster.command("member-add", name, HOST, str(port), str(lease_port))

    def promoted():
        return not cluster.command("member-promote", name, check=False).returncode

    wait_until(promoted, RECOVERY_TIMEOUT_S, f"{name} has caught up")
    cluster.command("member-remove", context.lost)
    cluster.control_names[:] = [
        *(n for n in cluster.control_names if n != context.lost),
        name,
    ]
    context.client.set_members([member(cluster, n) for n in cluster.control_names])
    voters = leader(context).membership.voters
    context.measured.append(f"voters {voters} after {time.monotonic() - start:.1f} s")
    assert voters == sorted(cluster.control_names), voters
    context.new_member = name


def answers(context, name):
    try:
        return context.client.status(member(context.cluster, name), 1)
    except TamarackhavenError:
        return None


@when("the other old follower is killed")
def other_killed(context):
    keep = {context.new_member}
    old = [n for n in context.cluster.control_names if n not in keep]
    leader_name = leader(context).member
    context.cluster.kill(next(n for n in old if n != leader_name))
