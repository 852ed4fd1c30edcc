Feature: the store is restored from an older copy

  The restored store has lost its last changes and gives out their revisions again.

  @known_red
  Scenario: a change that reuses a revision of the lost history is in force in time
    Guards against a watch that starts after the change.
    Then a version published at any of 8 moments after the return is in force within 3 s

  @known_red
  Scenario: the store gets few calls after its return
    Given a fleet of 7 hosts whose store returns at 10 s from a copy 2 changes old
    Then the store gets at most 3 calls a second from 11 s on

  @known_red
  Scenario: a host that was cut off meanwhile learns that a server drains
    Guards against entries compared by revisions of two histories.
    Given a fleet of 7 hosts of which host 4 is cut off as the store is restored
    And a server that drains then
    Then every host considers it as draining 3 s after the cut

  @known_red
  Scenario: hosts agree with a store that was restored twice
    Then after 20 random series of changes, restores and lost hosts all hosts agree with the store
