"""Steps for availability zones, planned stops, and a second process with a name."""

import time

from behave import then, when

from features.support import (
    RECOVERY_TIMEOUT_S,
    grants,
    set_zones,
    target_counts,
    target_member,
)
from standin.cluster import TargetSpec, wait_until
from tamarackhaven._model import ZoneState

SECOND = "second"


@when('zone "{name}" is taken {state}')
def zone_taken(context, name, state):
    set_zones(context, ZoneState(state), name)
    context.zone_changed_s = time.monotonic()


@when('the last zone, "{name}", is taken out')
def last_zone_taken(context, name):
    set_zones(context, ZoneState.OUT, name, last=True)
    context.zone_changed_s = time.monotonic()


@then('after {after:g} s no target of zone "{zone}" starts anything for {lasting:g} s')
def nothing_starts_after(context, after, zone, lasting):
    time.sleep(max(0, context.zone_changed_s + after - time.monotonic()))
    nothing_starts(context, zone, lasting)


@then('no target of zone "{zone}" starts anything for {lasting:g} s')
def nothing_starts(context, zone, lasting):
    specs = context.cluster.spec_by_name.values()
    names = [spec.name for spec in specs if spec.zone == zone]
    assert names, zone
    before = [target_counts(context.cluster, name) for name in names]
    time.sleep(lasting)
    after = [target_counts(context.cluster, name) for name in names]
    for name, old, new in zip(names, before, after, strict=True):
        assert new["served"] == old["served"], (name, old["served"], new["served"])
        assert new["executions"] == old["executions"], name
        assert new["overruns"] == old["overruns"], name


@when('"{name}" gets SIGTERM')
def terminated(context, name):
    start = time.monotonic()
    context.exit_code = context.cluster.terminate(name)
    context.measured.append(f"ended in {time.monotonic() - start:.1f} s")


@when('a second process claims the name "{name}"')
def second_claims(context, name):
    cluster = context.cluster
    zone = cluster.spec_by_name[name].zone
    context.grants_before = grants_of(context, name)
    cluster.add_target(SECOND, TargetSpec("booking", name, zone, cold_s=0.5))
    context.second = SECOND
    cluster.start_target(SECOND)
    cluster.start_daemon(SECOND)


def grants_of(context, name):
    return {row.shard: row.grant for row in grants(context) if row.owner == name}


@then('its log says "{words}" within {seconds:g} s')
def log_says(context, words, seconds):
    log = context.cluster.folder / f"d-{SECOND}" / "log"
    wait_until(lambda: log.exists() and words in log.read_text(), seconds, words)


@then('no grant of "{name}" has changed')
def grants_same(context, name):
    assert grants_of(context, name) == context.grants_before


@then('the second process owns shards as "{name}"')
def second_owns(context, name):
    port = context.cluster.ports_by_name[SECOND].peer

    def owns():
        row = target_member(context, name)
        return row.peer.port == port and grants_of(context, name)

    wait_until(owns, RECOVERY_TIMEOUT_S, "the second process owns shards")
    elapsed_s = time.monotonic() - context.killed_s
    context.measured.append(f"the second took over after {elapsed_s:.1f} s")
