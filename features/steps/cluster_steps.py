"""Steps that start, kill, freeze and restore processes, and audit bookings."""

import http.client
import itertools
import signal
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.support import (
    CALLER_COUNT,
    KEYS,
    RECOVERY_TIMEOUT_S,
    grants,
    is_balanced,
    keys_of,
    restart,
    restore_cluster,
    target_counts,
)
from standin.cluster import wait_until
from standin.load import Load, ask, outage_s

MAX_WAITING_BOOKINGS = 12


@given("a healthy cluster")
def healthy_cluster(context):
    restore_cluster(context)


@given("callers look up and book")
def callers_start(context):
    ports = [ports.caller for ports in context.cluster.ports_by_name.values()]
    start_load(context, ports)


@given('callers look up and book at "{names}"')
def callers_start_at(context, names):
    cluster = context.cluster
    start_load(context, [cluster.ports_by_name[n].caller for n in names.split()])


def start_load(context, ports):
    context.ports = ports
    context.load = Load(lambda: ports, "booking", KEYS, 0.6, CALLER_COUNT, pause_s=0.03)
    context.load.start()
    wait_until(lambda: len(context.load.latencies_s) > 50, 30, "50 answers")


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    time.sleep(seconds)


@when('"{names}" are killed')
def processes_killed(context, names):
    names = names.split()
    context.killed_keys = keys_of(context, names)
    context.killed_s = time.monotonic()
    context.cluster.kill(*names)


@when('"{name}" is frozen')
def frozen(context, name):
    context.cluster.send_signal(name, signal.SIGSTOP)
    context.frozen_s = time.monotonic()


@when('bookings of its keys wait at "{name}"')
def bookings_wait(context, name):
    port = context.cluster.ports_by_name[name].caller
    context.waiting_keys = keys_of(context, [f"d-{name}"])[:MAX_WAITING_BOOKINGS]
    assert context.waiting_keys
    context.booking_threads = ThreadPoolExecutor(MAX_WAITING_BOOKINGS)
    context.waiting = [
        context.booking_threads.submit(book, port, key) for key in context.waiting_keys
    ]


def book(port, key):
    """Book once, with a timeout that outlasts the freeze of a daemon."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=RECOVERY_TIMEOUT_S
    )
    headers = {
        "Idempotency-Key": uuid.uuid4().hex,
        "Tamarackhaven-First-Sent": f"{time.time():.3f}",
    }
    try:
        return ask(port, "booking", key, "POST", headers, connection)
    finally:
        connection.close()


@when('each of these keys is booked at "{name}"')
def each_booked(context, name):
    port = context.cluster.ports_by_name[name].caller
    unbooked = set(context.waiting_keys)

    def all_booked():
        unbooked.difference_update([k for k in unbooked if book(port, k).status == 201])
        return not unbooked

    wait_until(all_booked, RECOVERY_TIMEOUT_S, "a booking of each key at its new owner")


@then("every waiting booking gets an answer")
def waiting_answered(context):
    answers = [future.result(RECOVERY_TIMEOUT_S) for future in context.waiting]
    context.booking_threads.shutdown()
    count_by_answer = Counter(answer.error or str(answer.status) for answer in answers)
    context.measured.append(f"waiting bookings: {dict(count_by_answer)}")
    assert all(answer.status for answer in answers), count_by_answer


@when('"{name}" is woken')
def process_resumed(context, name):
    context.cluster.send_signal(name, signal.SIGCONT)


@when('"{name}" starts again')
def starts_again(context, name):
    restart(context.cluster, name)


@then('a key of the killed is served at "{name}" within {seconds:g} s')
def served_elsewhere(context, name, seconds):
    port = context.cluster.ports_by_name[name].caller
    found = [
        outage_s(port, "booking", key, context.killed_s, seconds)
        for key in context.killed_keys[:3]
    ]
    context.measured.append(f"without an owner {max(found):.2f} s")
    assert max(found) < seconds, found


@then('"{name}" owns nothing within {seconds:g} s')
def owns_nothing(context, name, seconds):
    start = time.monotonic()

    def is_moved():
        return all(row.owner not in ("", name) for row in grants(context))

    wait_until(is_moved, seconds, f"all shards of {name} at other targets")
    context.measured.append(f"moved within {time.monotonic() - start:.1f} s")


@then("every target owns shards again")
def all_own(context):
    wait_until(
        lambda: is_balanced(context), RECOVERY_TIMEOUT_S, "every target owns shards"
    )


@then("no booking is lost or doubled")
def bookings_audited(context):
    context.load.stop()
    audit = context.load.audit(context.cluster.journal())
    context.measured.append(
        f"{audit.booked} booked, {audit.lost} lost, {audit.doubled} doubled, "
        f"{audit.unresolved} open ({audit.unresolved_but_run} of them run)"
    )
    context.measured.append(str(dict(context.load.answers)))
    assert audit.booked > 0, audit
    assert audit.lost == 0, audit
    assert audit.doubled == 0, audit


@then("no shard ran at two targets in overlapping grants")
def grants_in_order(context):
    rows = context.cluster.executions()
    target_by_grant = {}
    rows_by_shard = {}
    for row in rows:
        grant = row["shard"], row["grant"]
        assert target_by_grant.setdefault(grant, row["target"]) == row["target"], row
        rows_by_shard.setdefault(row["shard"], []).append(row)
    for executed in rows_by_shard.values():
        executed.sort(key=lambda row: row["started_ms"])
        for earlier, later in itertools.pairwise(executed):
            assert earlier["grant"] <= later["grant"], (earlier, later)
    context.measured.append(f"{len(rows)} executions in {len(target_by_grant)} grants")


@then('no answer was "{names}"')
def no_such_answer(context, names):
    seen = set(names.split(", ")) & set(context.load.answers)
    assert not seen, context.load.answers


@then('lookups of all keys are answered at "{name}"')
def all_answered(context, name):
    port = context.cluster.ports_by_name[name].caller

    def answered():
        return all(ask(port, "booking", key).status == 200 for key in KEYS)

    wait_until(answered, RECOVERY_TIMEOUT_S, "an answer for each key")


@then('the targets refused "{reason}" {low:d} times or more')
def refused(context, reason, low):
    total = Counter()
    for name in context.cluster.spec_by_name:
        total.update(target_counts(context.cluster, name)["refused"])
    context.measured.append(f"refused by targets: {dict(total)}")
    assert total[reason] >= low, total
