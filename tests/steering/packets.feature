Feature: routing of single packets

  Scenario Outline: a packet with a <fault> handle is dropped
    Guards against callers that choose their server, and against packets on a
    server of another service (promise P2).
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

  Scenario: a handle of the previous key is accepted during a rotation
    Given a steering host h0 among h0,h1,h2
    When it receives a coap packet with a previous key handle
    Then the steering packet is forwarded to r0

  Scenario: a draining server keeps its flow and gets no new one
    Guards against broken flows (promise P1) and new flows on a leaving server
    (promise P6).
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
    Guards against a flow that is opened at two servers.
    Given a steering host h0 among h0
    When an opening packet arrives twice within 15 s and 100 others between
    Then both opening packets went to the same server

  Scenario: an opaque flow moves to the current choice when its server is removed
    Given a steering host h0 among h0
    When an opaque flow has opened and its server is removed
    Then the next packet of the opaque flow goes to the current choice

  Scenario: packets of an address that has changed service are dropped for 5 s
    Guards against packets of one service on servers of another (promise P2).
    Given a steering host h0 among h0
    When the coap address moves to another service
    Then an opening packet is dropped as hold_down for 5 s

  Scenario Outline: <plugin> never relays a relayed packet
    Guards against loops between hosts with different views of the owners.
    Then hosts with any views that run <plugin> forward or drop a packet after at most one relay

    Examples:
      | plugin       |
      | tracked      |
      | rendezvous   |
      | modulo       |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario: hosts with the same view choose the same servers, in proportion to weights
    Guards against a choice that depends on the host or ignores weights.
    Then all hosts choose the same servers for any servers and flows
    And shares of rendezvous choices lie within 5 standard deviations of weights

  Scenario: packets wait after a pause until a peer reports its version
    Guards against a paused host that routes by an outdated document.
    Given a steering host h0 among h0,h1
    When it resumes after a pause and an opaque packet arrives
    Then the steering packet is held
    When peer h1 reports version 1
    Then the held steering packet is forwarded or relayed

  Scenario: packets wait after a pause for at most 1 s
    Guards against flows that stall when no peer sends a message.
    Given a steering host h0 among h0,h1
    When it resumes after a pause and an opaque packet arrives
    And 1.05 s pass at the host
    Then the held steering packet is forwarded or relayed

  Scenario: a stopping host hands over its records to the remaining hosts
    Guards against broken flows that only the stopped host has seen.
    Given a steering host h0 among h0,h1,h2
    When 200 opaque flows have been seen and the host stops
    Then its steering records for all 200 flows are sent to h1 and h2

  Scenario: after 2 s an owner does not choose a leaving server, but waits for records
    Guards against new flows on a leaving server while a host is slow to hand over.
    Given a steering host h0 among h0,h1
    When r0 starts draining for steering
    Then relayed flows without a record go to r0 only before 2 s, then wait up to 1.5 s for records

  Scenario: a host with an older document relays flows without a record to owners
    Guards against choices by a document that other hosts have replaced.
    Given a steering host h0 among h0,h1
    When peer h1 has version 2 in the view
    Then opaque flows without a record are relayed to their owner

  Scenario: the owner sends a record to the relaying host
    Guards against a relay of every packet of an ambiguous flow.
    Given a steering host h0 among h0,h1
    When h1 relays 10 opaque packets to it
    Then it sends h1 a record of each of the 10 flows

  Scenario: a host routes by a record that it received
    Guards against records that are received and not used.
    Given a steering host h0 among h0,h1
    When peer h1 sends it a record of opaque caller 1 with server r3
    Then the steering packet is forwarded to r3

  Scenario: a full flow table stays within its bound
    Guards against memory growth under many short flows.
    Then a flow table of 4096 slots keeps at most 4096 of 100000 flows
    And it evicts other flows before tracked ones

  Scenario: a host routes packets after malformed flow records
    Guards against missing fields and unknown servers in peer messages.
    Given a steering host h0 among h0,h1
    When peer h1 sends flow records with missing fields
    Then opaque packets are still forwarded or relayed
