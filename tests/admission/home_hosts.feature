Feature: election of home hosts

  Scenario: few hosts own a service's slots in a large region
    Guards against hosts without a slot, which probe blindly, and against a hop
    in small regions.
    Then with 7 servers of 3 these hosts are home hosts
      | hosts | home hosts |
      | 7     | 7          |
      | 10    | 10         |
      | 11    | 7          |
      | 286   | 7          |
    And with 1 servers of 3 these hosts are home hosts
      | hosts | home hosts |
      | 7     | 7          |
      | 8     | 2          |

  Scenario: home hosts are elected zone by zone
    Guards against dispatches to another zone's servers.
    Then each zone's home hosts own the slots of its own servers

  Scenario: a host that dies moves its own place only
    Guards against queues that all hosts lose at one death.
    Then the death of one of 40 hosts moves at most one home host
