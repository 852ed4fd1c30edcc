Feature: relays of catalog updates in a large fleet

  Scenario Outline: messages per host for one update grow more slowly than the fleet
    Guards against a large fleet that saturates the reader's link or processor.
    Given <hosts> members in <zones> zones
    When a host broadcasts an update
    Then the update reaches every member
    And no host sends more than <messages> messages for it

    Examples:
      | hosts | zones | messages |
      | 100   | 4     | 99       |
      | 300   | 3     | 60       |
      | 2000  | 18    | 120      |

  Scenario: a change is in force within 0.1 s on every host through relays
    Given a fleet of 40 hosts with relays in which a version is published at 10 s
    Then every live host has it in force within 0.1 s
    And the reader sends less than half of the updates

  Scenario: the relays crash as a version is published
    Guards against a group that waits for relays that have crashed.
    Given a fleet of 40 hosts with relays that are killed at 10 s as a version is published
    Then every live host has it in force within 3 s
