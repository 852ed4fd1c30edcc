Feature: one host reads the store for all

  A change must be in force on every host within 3 s of the store's answer to the
  operator, whatever happens to the host that reads.

  Scenario Outline: calls to the store don't grow with the fleet
    Given a fleet of <hosts> hosts that runs for 20 s
    Then the store gets at most 3 calls a second from 10 s on
    And one host reads

    Examples:
      | hosts |
      | 7     |
      | 40    |

  Scenario: after a full read of the store peers get only the changes
    Guards against readers that saturate their own link with full catalogs.
    Given a fleet of 7 hosts that runs for 20 s
    Then no message to a peer holds more than 2 servers from 10 s on

  Scenario: readers with wide links come first
    Given entry hosts with links of 5, 100 and 10 Mbit/s in one zone
    Then the host with 100 Mbit/s reads first

  Scenario: a change is in force within 0.1 s on every host
    Given a fleet of 7 hosts in which a version is published at 10 s
    Then every live host has it in force within 0.1 s

  Scenario: a burst of changes shares calls
    Given a fleet of 7 hosts in which 40 versions are published from 10 s to 12 s
    Then the store gets at most 20 calls from 10 s to 12 s
    And every host has the last one in force within 0.3 s

  Scenario: the reader crashes as a version is published
    Given a fleet of 7 hosts whose reader is killed at 10 s as a version is published
    Then every live host has it in force within 2.5 s

  Scenario: all elected readers crash as a version is published
    Guards against a fleet that waits for hosts that have crashed.
    Given a fleet of 9 hosts whose elected readers are killed at 10 s as a version is published
    Then every live host has it in force within 3 s

  Scenario: the reader's watch gets no answer
    Given a fleet of 7 hosts whose reader gets no answers from 10 s on as a version is published
    Then every live host has it in force within 3 s

  Scenario: the store refuses the reader
    Given a fleet of 7 hosts whose reader is refused from 10 s on as a version is published
    Then every live host has it in force within 3 s

  Scenario: the store refuses all but one host
    Given a fleet of 7 hosts of which all but the last are refused from 10 s on as a version is published
    Then every live host has it in force within 3 s

  Scenario: a zone is partitioned from the others as a version is published
    Given a fleet of 7 hosts in which zone z1 is partitioned at 10 s as a version is published
    Then every live host has it in force within 3 s

  Scenario: messages between hosts are lost
    Given a fleet of 7 hosts with a message loss of 0.2 in which a version is published at 10 s
    Then every live host has it in force within 3 s

  Scenario: hosts make few calls during an outage of the store and recover at once
    Given a fleet of 40 hosts whose store is down from 10 s to 20 s
    Then the store gets at most 25 calls a second from 13 s to 20 s
    And a version published at 20 s is in force everywhere within 2 s

  Scenario: a watch advances past changes before the history is compacted
    Guards against a revision that advances without its events.
    Given a fleet of 7 hosts whose store compacts its history at 11 s after omitting events for a second
    Then every host has the version of 10.2 s in force within 2.5 s

  Scenario: a server that is drained while the reader dies gets no new flows
    Given a fleet of 7 hosts whose reader is killed at 10 s as a server is drained
    Then every host knows that it is draining within 2.5 s

  Scenario: a host that starts while the store is down gets the catalog from a peer
    Given a fleet of 7 hosts in which host 3 is restarted at 10 s as the store goes down
    Then host 3 has a catalog within 2 s
    And it does not consider its catalog current

  Scenario: a leaving host still gets changes
    Guards against packets that a leaving host forwards by an outdated catalog.
    Given a fleet of 7 hosts in which host 3 leaves at 9 s and a version is published at 10 s
    Then every live host has it in force within 0.1 s
