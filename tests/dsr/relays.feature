Feature: relays of news in a large fleet

  Scenario Outline: what a host sends for one piece of news grows slower than the fleet
    Guards against a reader whose link or processor the fleet's size fills.
    Given <hosts> members in <zones> zones
    When a host tells news
    Then the news reach every member
    And no host sends more than <messages> messages for them

    Examples:
      | hosts | zones | messages |
      | 100   | 4     | 99       |
      | 300   | 3     | 60       |
      | 2000  | 18    | 120      |

  Scenario: a change is in force everywhere at once through relays
    Given a fleet of 40 hosts with relays in which a version is published at 10 s
    Then every host has it in force within 0.1 s
    And the reader sends less than half of the news

  Scenario: the relays die as a version is published
    Guards against a group that waits for relays that are gone.
    Given a fleet of 40 hosts with relays that are killed at 10 s as a version is published
    Then every host has it in force within 3 s
