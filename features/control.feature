@cluster
Feature: Control VMs are lost, freeze and come back
  Three control VMs keep resources and grants. Daemons serve by leases that a majority
  holds, so a change of leader must not show to callers; what an operator was told is
  in force must stay so.

  Scenario: the leader is killed
    Leases are held by a majority of control VMs, not by the leader, so no key loses
    its owner. The change that was acknowledged right before is on a second disk.
    Given a healthy cluster
    And callers look up and book
    When a change is acknowledged
    And the leader is killed
    Then the acknowledged changes are in force
    And no grant has changed
    When 1 s pass
    Then lookups of all keys are answered at "t1"
    And no booking is lost or doubled
    And the only answers are "200, 201, BOOKING_OWNER_CHANGED, TARGET_COLD"

  Scenario: the leader and an owner are killed together
    The next leader has to be elected before it can find the owner silent, and it never
    granted the lease that it now waits for. Keys of the other owners stay where they
    are.
    Given a healthy cluster
    And callers look up and book
    When a change is acknowledged
    And the leader, "t-t4" and "d-t4" are killed
    Then a key of the killed is served at "t1" within 30 s
    And the acknowledged changes are in force
    And "t4" owns nothing within 30 s
    And no shard of a living owner has moved
    When 1 s pass
    Then no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a follower is frozen while changes go on
    It wakes with old state and an election time long past. It must not answer a get
    with what it had, nor depose the leader that the others follow.
    Given a healthy cluster
    When a follower is frozen
    And 20 changes are acknowledged
    And 2 s pass
    And the frozen control VM is woken
    Then get through it shows the last change
    And a watch through it shows no older version
    And the leader and its term are the same

  Scenario: the leader is frozen while changes go on
    Another one is elected, and changes are acknowledged by it. The old one wakes and
    still takes itself for the leader; a get through it must not show its old state.
    Given a healthy cluster
    And callers look up and book
    When the leader is frozen
    And 20 changes are acknowledged
    And the frozen control VM is woken
    Then get through it shows the last change
    And a watch through it shows no older version
    And no grant has changed
    And no booking is lost or doubled

  Scenario: two operators race with equal versions
    Both have read the same version and apply at once. One gets a new version, the other
    is told of the conflict. The winner, unsure of its answer, sends the change again,
    which gets it the first outcome.
    Given a healthy cluster
    When two operators apply changes of the same version at once
    Then one exits with 0 and the other with 62 and "TH604 VERSION_CONFLICT"
    And the winner's change sent again gets its first version
    And the winner's change is in force

  Scenario: a watcher restarts after hundreds of changes
    It asks for what follows the last version that it has seen. Whether it gets deltas
    or a snapshot, its view must end equal to what is in force, with no step back.
    Given a healthy cluster
    When a watcher has seen the state and ends
    And 300 changes are acknowledged
    And a follower starts again
    And the watcher starts from its last version
    Then its versions rise and its view is what is in force

  Scenario: a control VM ends by SIGTERM
    It leaves the group's work to the others and exits with 0; callers notice nothing.
    Given a healthy cluster
    And callers look up and book
    When the leader gets SIGTERM
    Then it exits with 0
    And no grant has changed
    And no booking is lost or doubled
    And the only answers are "200, 201, BOOKING_OWNER_CHANGED, TARGET_COLD"

  Scenario: two control VMs are lost while a target is lost
    One control VM is no majority, so all leases end, and every daemon refuses rather
    than serve keys that it may not own. Callers are told to come back later. Once a
    second control VM is back, all is served again.
    Given a healthy cluster
    And callers look up and book
    When two control VMs, "t-t3" and "d-t3" are killed
    Then every lookup at "t1" is refused with "did not run" within 20 s
    When the killed control VMs start again
    Then lookups of all keys are answered at "t1"
    And "t3" owns nothing within 30 s
    And no booking is lost or doubled
    And no shard ran at two targets in overlapping grants

  Scenario: a control VM loses its folder, and another is lost after the repair
    With an empty folder it could vote twice or forget a promise, so it refuses to
    start. A new name joins as a learner, catches up and gets its vote. From then on
    the loss of another VM leaves a majority that has all that was acknowledged.
    Given a healthy cluster
    And callers look up and book
    When a follower is killed and its folder is removed
    Then its start exits with 95 and "TH713 MEMBER_UNKNOWN"
    When "c4" joins, is promoted, and the lost one is removed
    And a change is acknowledged
    And the other old follower is killed
    Then the acknowledged changes are in force
    When a change is acknowledged
    Then the acknowledged changes are in force
    And lookups of all keys are answered at "t1"
    And no booking is lost or doubled
