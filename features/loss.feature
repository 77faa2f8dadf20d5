@cluster
Feature: Targets and daemons are lost, freeze and come back
  Callers ask any daemon; each key has one owner among four targets. A process ends or
  freezes at any moment. Callers repeat by the rules, and no booking may be lost or run
  twice, however the loss falls together with requests, renewals and moves.

  Scenario: a target and its daemon are killed
    The VM goes while it has requests in flight. Its lease runs out, a majority fences
    its epoch, and only then its shards get new owners. Bookings whose outcome went
    with it stay unknown and are not run on a guess.
    Given a healthy cluster
    And callers look up and book
    When "t-t3 d-t3" are killed
    Then a key of the killed is served at "t1" within 20 s
    And "t3" owns nothing within 30 s
    When 1 s pass
    Then no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a target dies and its daemon lives
    The daemon finds that nobody listens at its target's port, and gives the shards up
    itself, without waiting for its lease to end. The target starts again, cold, and
    its daemon joins under a new epoch.
    Given a healthy cluster
    And callers look up and book
    When "t-t2" are killed
    Then a key of the killed is served at "t1" within 20 s
    And "t2" owns nothing within 30 s
    When "t-t2" starts again
    Then every target owns shards again
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a daemon is frozen for longer than its lease and wakes
    The daemon stops between any two steps. Its shards get other owners meanwhile. Once
    awake, it holds requests that it has admitted and a map that names it the
    owner. Its own lease has ended by its own clock, and the target refuses what was
    to start before that end, so nothing runs in an old grant. Then it joins again.
    Given a healthy cluster
    And callers look up and book
    When "d-t3" is frozen
    And bookings of its keys wait at "t3"
    Then "t3" owns nothing within 30 s
    When each of these keys is booked at "t1"
    And "d-t3" is woken
    Then every waiting booking gets an answer
    When 1 s pass
    Then every target owns shards again
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a target is frozen and wakes
    Its daemon still renews, so the shards stay where they are. Callers get answers
    that say unknown at their deadlines. The woken target finds requests past
    their deadline and gives them up, and goes on.
    Given a healthy cluster
    And callers look up and book
    When "t-t1" is frozen
    And 2 s pass
    And "t-t1" is woken
    Then lookups of all keys are answered at "t4"
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: two targets are killed at once
    Two VMs of different availability zones go together. The two that are left own
    all keys, and the ones that come back share them again.
    Given a healthy cluster
    And callers look up and book
    When "t-t2 d-t2 t-t4 d-t4" are killed
    Then a key of the killed is served at "t1" within 20 s
    And "t2" owns nothing within 30 s
    And "t4" owns nothing within 30 s
    When 1 s pass
    Then no booking is lost or doubled
    And no shard ran at two targets in overlapping grants
