Feature: one host reads the store for all

  News must be in force at every host within 3 s of the store's answer to the
  operator, whatever happens to the host that reads.

  Scenario Outline: calls to the store don't grow with the fleet
    Given a fleet of <hosts> hosts that runs for 20 s
    Then the store gets at most 3 calls a second from 10 s on
    And one host reads

    Examples:
      | hosts |
      | 7     |
      | 40    |

  Scenario: a full read of the store tells peers only what was new
    Guards against readers that fill their own link with whole catalogs.
    Given a fleet of 7 hosts that runs for 20 s
    Then no message to a peer holds more than 2 servers from 10 s on

  Scenario: readers with wide links come first
    Given entry hosts with links of 5, 100 and 10 Mbit/s in one zone
    Then the host with 100 Mbit/s reads first

  Scenario: a change is in force everywhere at once
    Given a fleet of 7 hosts in which a version is published at 10 s
    Then every host has it in force within 0.1 s

  Scenario: changes in quick succession share calls
    Given a fleet of 7 hosts in which 40 versions are published from 10 s to 12 s
    Then the store gets at most 20 calls from 10 s to 12 s
    And every host has the last one in force within 0.3 s

  Scenario: the reader dies as a version is published
    Given a fleet of 7 hosts whose reader is killed at 10 s as a version is published
    Then every host has it in force within 2.5 s

  Scenario: all elected readers die as a version is published
    Guards against a fleet that waits for hosts that are gone.
    Given a fleet of 9 hosts whose elected readers are killed at 10 s as a version is published
    Then every host has it in force within 3 s

  Scenario: the reader's watch falls silent
    Given a fleet of 7 hosts whose reader hears nothing from 10 s on as a version is published
    Then every host has it in force within 3 s

  Scenario: the store refuses the reader
    Given a fleet of 7 hosts whose reader is refused from 10 s on as a version is published
    Then every host has it in force within 3 s

  Scenario: the store refuses all but one host
    Given a fleet of 7 hosts of which all but the last are refused from 10 s on as a version is published
    Then every host has it in force within 3 s

  Scenario: a zone is cut off from the others as a version is published
    Given a fleet of 7 hosts in which zone z1 is cut at 10 s as a version is published
    Then every host has it in force within 3 s

  Scenario: messages are lost
    Given a fleet of 7 hosts that loses 0.2 of messages in which a version is published at 10 s
    Then every host has it in force within 3 s

  Scenario: an outage of the store costs few calls and ends at once
    Given a fleet of 40 hosts whose store is down from 10 s to 20 s
    Then the store gets at most 25 calls a second from 13 s to 20 s
    And a version published at 20 s is in force everywhere within 2 s

  Scenario: a watch passes changes before its history is dropped
    Guards against a revision that moves on without its events.
    Given a fleet of 7 hosts whose store drops its history at 11 s after a second without events
    Then every host has the version of 10.2 s in force within 2.5 s

  Scenario: a server that is drained while the reader dies gets no new flows
    Given a fleet of 7 hosts whose reader is killed at 10 s as a server is drained
    Then every host knows that it is draining within 2.5 s

  Scenario: a host that starts while the store is away gets the catalog from a peer
    Given a fleet of 7 hosts in which host 3 starts again at 10 s as the store goes down
    Then host 3 has a catalog within 2 s
    And it does not take that for current

  Scenario: a host that leaves hears of changes
    Guards against packets that a leaving host forwards by old knowledge.
    Given a fleet of 7 hosts in which host 3 leaves at 9 s and a version is published at 10 s
    Then every host has it in force within 0.1 s
