@processes
Feature: node processes with stand-ins of the platform

  Scenario: a graceful stop breaks no flow
    Given real nodes that serve callers
    When a real node is stopped gracefully
    Then it exits with 0 within the grace period
    And no guarantee is violated and no flow broke

  Scenario: packets sent before a node has loaded are forwarded
    Guards against a start that loses the packets that arrive during it.
    Given real nodes that serve callers
    When all real nodes are killed and started again
    Then requests are served again within 2 s
    And no guarantee is violated

  Scenario: callers of a server that stops answering are served by other servers
    Given real nodes that serve callers
    When one of their servers stops answering
    Then its callers are served again within 2 s
    And no guarantee is violated

  Scenario: a node that starts while the store is silent serves callers
    Guards against a node that waits for the store although its peers have the catalog.
    Given real nodes that serve callers
    When a real node starts again while the store is silent
    Then requests are served again within 4 s
    And no guarantee is violated

  Scenario: openings are refused while all zones are evacuated
    Given real nodes that serve callers
    When all zones of real nodes are evacuated for 7 s
    Then openings were refused as "zone_evacuated" from 5 s to 7 s after it
    And each real node's status showed both zones and how long
    And requests are served again within 12 s
    And no guarantee is violated

  Scenario: a node that starts during an evacuation opens no flow to the zone
    Guards against a start that serves callers before it knows of the evacuation.
    Given real nodes that serve callers
    When a real node starts again 5 s after zone z1 was evacuated
    Then the node's log tells of the evacuation and of no flow opened to zone z1
    And no guarantee is violated

  Scenario: nodes serve and learn of changes while others fill the store
    Guards against nodes that are ended as they exceed their memory, 100 MB on the smallest
    machine in use, and against changes that wait for the last page of a read.
    Given real nodes that serve callers
    When another writer puts 24 entries of 1048576 bytes and a route is added after it
    Then each real node took at most 100 MB of memory
    And each real node had the route in force within 3 s
    And no guarantee is violated

  Scenario: an invalid settings file ends the start and the error names the field
    When a node is started with a settings file without a store
    Then the node exits with 2 and names "platform.address"

  Scenario: an address that can't be bound ends the start with a remedy
    When a node is started at an address that is not local
    Then the node exits with 3 and names "give a free ip:port"
