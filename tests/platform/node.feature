@processes
Feature: real nodes on stand-ins of the platform

  Scenario: callers are served, and a planned stop cuts nothing off
    Given real nodes that serve callers
    When a real node is stopped as planned
    Then it exits with 0 within the grace period
    And no promise is broken and no flow broke

  Scenario: packets sent before a node has loaded are forwarded
    Guards against a start that loses what arrives meanwhile.
    Given real nodes that serve callers
    When all real nodes are killed and started again
    Then requests are served again within 2 s
    And no promise is broken

  Scenario: flows of a server that falls silent are reset and go on elsewhere
    Given real nodes that serve callers
    When a server of theirs falls silent
    Then its callers are served again within 2 s
    And no promise is broken

  Scenario: a node that starts while the store is silent serves callers
    Guards against a node that waits for the store although its peers know all.
    Given real nodes that serve callers
    When a real node starts again while the store is silent
    Then requests are served again within 4 s
    And no promise is broken

  Scenario: a faulty settings file ends the start with its remedy
    When a node is started with a settings file without a store
    Then the node exits with 2 and names "platform.address"

  Scenario: an address in use ends the start with its remedy
    When a node is started at an address that it can't have
    Then the node exits with 3 and names "give a free ip:port"
