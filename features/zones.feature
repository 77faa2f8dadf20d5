@cluster
Feature: Availability zones go out, targets leave, and names are claimed
  Operators take a zone out at short notice; a few seconds later none of its targets
  gets new work, whether or not its daemons hear of it. Planned stops cut off nothing.

  Scenario: a zone is taken out under load and comes back
    The change is committed, daemons there hand their shards over while they still
    serve, and stop. Callers at other daemons are answered throughout. Taken in again,
    the zone's targets own shards again.
    Given a healthy cluster
    And callers look up and book
    When zone "a" is taken out
    Then after 4 s no target of zone "a" starts anything for 2 s
    And "t1" owns nothing within 30 s
    And "t2" owns nothing within 30 s
    And lookups of all keys are answered at "t1"
    When zone "a" is taken in
    Then every target owns shards again
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants
    And no answer was "no answer, ANSWER_SHORT, TARGET_SENT_NOTHING, FORWARD_LOST"

  Scenario: a zone is taken out while a daemon in it is frozen
    The frozen daemon can't hear of it. Control VMs refuse its renewals, its shards are
    fenced and move. It wakes long after; what it had admitted must not start.
    Given a healthy cluster
    And callers look up and book at "t2 t3 t4"
    When "d-t1" is frozen
    And zone "a" is taken out
    Then after 4 s no target of zone "a" starts anything for 2 s
    When "d-t1" is woken
    Then no target of zone "a" starts anything for 1 s
    When zone "a" is taken in
    Then every target owns shards again
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a zone change is taken back half-way
    Some shards have left, some are on the move, some not yet. Each of them ends with
    one owner, whichever way its move was decided.
    Given a healthy cluster
    And callers look up and book
    When zone "a" is taken out
    And 0.1 s pass
    And zone "a" is taken in
    Then every target owns shards again
    And lookups of all keys are answered at "t3"
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants
    And no answer was "no answer, ANSWER_SHORT, TARGET_SENT_NOTHING, FORWARD_LOST"

  Scenario: two zones change at once
    Zone b goes out together with zone a, and zone a comes back while b is leaving.
    What remains carries all keys.
    Given a healthy cluster
    And callers look up and book
    When zone "a" is taken out
    And zone "b" is taken out
    Then after 4 s no target of zone "b" starts anything for 1 s
    And "t1" owns nothing within 30 s
    When zone "a" is taken in
    And zone "b" is taken in
    Then every target owns shards again
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: the last zone is taken out by an explicit word
    No target is left that could take the shards, so moves can't empty the zone. Its
    gates must stop all the same; callers are told to come back later. Taken in again,
    it serves on.
    Given a healthy cluster
    And callers look up and book
    When zone "a" is taken out
    And zone "b" is taken out
    And the last zone, "c", is taken out
    Then after 4 s no target of zone "c" starts anything for 2 s
    And no target of zone "a" starts anything for 1 s
    When zone "c" is taken in
    Then lookups of all keys are answered at "t1"
    When zone "a" is taken in
    And zone "b" is taken in
    Then every target owns shards again
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a zone goes out while a target elsewhere is lost
    Shards of zone a are on their way to the others when one of these others dies, with
    some of them just arrived. They go on to the one that is left.
    Given a healthy cluster
    And callers look up and book at "t1 t2 t4"
    When zone "a" is taken out
    And 0.1 s pass
    And "t-t3 d-t3" are killed
    Then "t3" owns nothing within 30 s
    And "t1" owns nothing within 30 s
    And "t2" owns nothing within 30 s
    And lookups of all keys are answered at "t4"
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a daemon ends by SIGTERM under load
    It says that it leaves, hands its shards over with the ledger of bookings, ends
    what is in flight and exits with 0. Callers of other daemons see no cut answer, and
    a booking repeated at the next owner gets its first answer.
    Given a healthy cluster
    And callers look up and book at "t1 t2 t4"
    When "d-t3" gets SIGTERM
    Then it exits with 0
    And "t3" owns nothing within 30 s
    When 1 s pass
    Then no booking is lost or doubled
    And no shard ran at two targets in overlapping grants
    And no answer was "no answer, ANSWER_SHORT, TARGET_SENT_NOTHING, FORWARD_LOST, BOOKING_UNKNOWN"

  Scenario: a daemon that callers ask ends by SIGTERM
    Its own callers are connected at that moment. What it has accepted is answered;
    a connection that it no longer takes has brought nothing to it.
    Given a healthy cluster
    And callers look up and book at "t3"
    When "d-t3" gets SIGTERM
    Then it exits with 0
    And no booking is lost or doubled
    And no answer was "no answer, ANSWER_SHORT, TARGET_SENT_NOTHING, FORWARD_LOST, BOOKING_UNKNOWN"

  Scenario: two processes claim one name
    A second VM is set up with the name of a living target. It gets NAME_CLAIMED and
    owns nothing as long as the first one renews, and takes over once that is gone.
    Given a healthy cluster
    And callers look up and book at "t1 t2 t3"
    When a second process claims the name "t4"
    Then its log says "TH613" within 30 s
    And no grant of "t4" has changed
    When "t-t4 d-t4" are killed
    Then the second process owns shards as "t4"
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants
