Feature: names and formats of the platform

  Scenario: a packet of the protocol's page is read and its handle written
    Given the platform's example of an opening packet
    Then it opens a flow from 100.64.0.7:40001 to 198.18.0.1:443
    And only bytes 12 to 15 change when handle 0x01020304 is written

  Scenario: a reset is encoded as the protocol's page shows
    Given the platform's example of an opening packet
    Then its reset is the page's example, sent to 100.64.0.7 at the callers' port

  Scenario Outline: an entry that is not usable names no server
    Guards against entries from other writers.
    When the platform's entry has <fault>
    Then no server is decoded from it

    Examples:
      | fault                   |
      | no address              |
      | a host name as address  |
      | a port that is too high |
      | an unknown state        |
      | text as slots           |
      | true as slots           |
      | a list as service       |
      | bytes that are no JSON  |
      | JSON that is no table   |

  Scenario: a configuration may split a route among services
    When a configuration splits a route 90 to 10
    Then the route has both services with their weights

  Scenario Outline: settings that can't be used name the remedy
    When the platform's settings have <fault>
    Then the error names <field>

    Examples:
      | fault                  | field              |
      | no listen addresses    | listen.datagram_addr |
      | no store               | platform.address   |
      | text as a bound        | bounds.drain_ms    |
      | no ports between hosts | internal_ports     |

  Scenario: unknown settings are ignored
    When the platform's settings have a field that is not known
    Then they are taken

  Scenario: a stale or bad seed is no reason to stop
    When the platform's settings have a seed that is no address
    Then they are taken
    And the other seeds are kept

  Scenario: the store is read page by page
    Given a stand-in store with 120 servers on pages of 50
    When the adapter loads the store
    Then it knows 120 servers and the configuration

  Scenario: unusable entries are logged once and the others hold
    Given a stand-in store with 3 servers and an unreadable entry
    When the adapter loads the store
    And the adapter loads the store
    Then it knows 3 servers and the configuration
    And one unusable entry is logged

  Scenario Outline: failures of the store are told apart
    Given a stand-in store with 3 servers on pages of 50
    When the store answers <status>
    Then the adapter's load fails as <reason>

    Examples:
      | status | reason      |
      | 503    | unavailable |
      | 429    | throttled   |
      | 500    | refused     |

  Scenario: a silent store is given up after the time limit
    Given a stand-in store with 3 servers on pages of 50
    When the store says nothing
    Then the adapter's load fails as lost

  Scenario: a watch returns changes and removals
    Given a stand-in store with 3 servers on pages of 50
    When a server drains and another leaves
    Then the adapter's watch returns one drained and one removed server

  Scenario: a watch whose history is gone says so
    Given a stand-in store with 3 servers on pages of 50
    When the store drops its history
    Then the adapter's watch fails as compacted

  Scenario: an entry that becomes unreadable is no server any more
    Given a stand-in store with 3 servers on pages of 50
    When a server's entry becomes unreadable
    Then the adapter's watch returns no drained and one removed server
