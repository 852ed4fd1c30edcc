Feature: decisions for single packets

  Scenario Outline: a <fault> handle is dropped
    Guards against steering by callers and across services (P2).
    Given a steering host h0 among h0,h1,h2
    When it receives a coap packet with a <fault> handle
    Then the steering packet is dropped as <reason>

    Examples:
      | fault         | reason      |
      | forged        | bad_handle  |
      | truncated     | bad_handle  |
      | empty         | bad_handle  |
      | other service | bad_handle  |
      | other token   | bad_handle  |
      | other region  | bad_handle  |
      | gone server   | server_gone |

  Scenario: a handle of the earlier key is accepted during a rotation
    Given a steering host h0 among h0,h1,h2
    When it receives a coap packet with a earlier key handle
    Then the steering packet is forwarded to r0

  Scenario: a draining server keeps its flow and gets no new one
    Guards against broken flows (P1) and new work on a leaving server (P6).
    Given a steering host h0 among h0
    When r0 starts draining for steering
    And it receives a coap packet with a valid handle
    Then the steering packet is forwarded to r0
    And 500 new coap flows never go to r0

  Scenario: weight 0 means no new flows
    Given a steering host h0 among h0
    When r0 gets weight 0 for steering
    Then 500 new coap flows never go to r0
    And 500 new opaque flows never go to r0

  Scenario: a repeated opening packet gets the same server
    Guards against two registrations of one flow.
    Given a steering host h0 among h0
    When an opening packet arrives twice within 15 s and 100 others between
    Then both opening packets went to the same server

  Scenario: an opaque flow takes the current choice when its server is gone
    Given a steering host h0 among h0
    When an opaque flow has opened and its server is removed
    Then the next packet of the opaque flow goes to the current choice

  Scenario: packets of an address that has changed service are held down
    Guards against packets of one service on another's servers (P2).
    Given a steering host h0 among h0
    When the coap address moves to another service
    Then an opening packet is dropped as hold_down for 5 s

  Scenario Outline: <plugin> never relays a relayed packet
    Guards against loops between hosts with different views of the owners.
    Then hosts with any views that run <plugin> forward a packet after one relay

    Examples:
      | plugin       |
      | tracked      |
      | rendezvous   |
      | modulo       |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario: hosts with the same view choose alike, in proportion to weights
    Guards against a choice that depends on the host or ignores weights.
    Then all hosts choose alike for any servers and flows
    And shares of rendezvous choices lie within 5 standard deviations of weights

  Scenario: packets wait after a pause until a peer tells its version
    Guards against decisions by old documents of a host that was paused.
    Given a steering host h0 among h0,h1
    When it resumes after a pause and an opaque packet arrives
    Then the steering packet is held
    When peer h1 reports version 1
    Then the held steering packet is steered

  Scenario: packets wait after a pause for at most 1 s
    Guards against flows that stand still when no peer is heard.
    Given a steering host h0 among h0,h1
    When it resumes after a pause and an opaque packet arrives
    And 1.05 steering seconds pass
    Then the held steering packet is steered

  Scenario: a stopping host hands its records to the hosts that follow
    Guards against flows that only the stopped host has seen.
    Given a steering host h0 among h0,h1,h2
    When 200 opaque flows have been seen and the host stops
    Then its steering records for all 200 flows are sent to h1 and h2

  Scenario: an owner waits at most 2 s for a leaving server's records
    Guards against new flows on a leaving server for as long as a member is slow.
    Given a steering host h0 among h0,h1
    When r0 starts draining for steering
    Then unknown relayed flows go to r0 before 2 s and not after

  Scenario: a full flow table stays within its bound
    Guards against memory growth under many short flows.
    Then a flow table of 4096 slots keeps 4096 of 100000 flows at most
    And it keeps tracked flows before others

  Scenario: malformed flow records do no harm
    Guards against missing fields and unknown servers in peer messages.
    Given a steering host h0 among h0,h1
    When peer h1 sends flow records with missing fields
    Then opaque packets are still steered
