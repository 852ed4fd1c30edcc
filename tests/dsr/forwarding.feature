Feature: forwarding of callers' packets

  Scenario: an opening packet goes to a server and carries its handle
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    Then the datagram goes to the server that its handle and number identify
    And the packet differs from the caller's only in the handle

  Scenario: any host finds the server of a packet without a record
    Guards against flows that break when the routers choose another host.
    Given a dsr host that knows servers 1,2,3
    And another dsr host with the same catalog
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data through the other host
    Then the other host sends it to the flow's server unchanged

  Scenario: a repeated opening packet goes to another server
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And 200 ms pass
    And the caller repeats its opening packet
    Then the two datagrams went to two servers
    And one unanswered opening packet is recorded

  Scenario: packets that were queued together do not count as unanswered
    Guards against a host that was paused taking servers for dead as it resumes.
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And the caller repeats its opening packet
    Then the two datagrams went to one server
    And no unanswered opening packet is recorded

  Scenario: an opening packet that the network duplicates stays with its server
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And caller 100.64.0.1:1000 opens a flow
    Then the two datagrams went to one server

  Scenario Outline: a duplicate of an opening packet reaches no server that <event>
    Guards against new flows at a server that has left or drains.
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And the server of the opening packet <event>
    And caller 100.64.0.1:1000 opens a flow again
    Then only the first opening packet was sent
    And a copy sent 250 ms later goes to another server

    Examples:
      | event                   |
      | drains                  |
      | is removed              |
      | is in an evacuated zone |

  Scenario: a port that is used again opens a new flow
    Guards against an opening packet that is taken for a copy of one that was never
    followed up, and so reaches a server that has drained.
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And the server of the opening packet drains
    And 3500 ms pass
    And caller 100.64.0.1:1000 opens a flow with another sequence number
    Then the two datagrams went to two servers
    And no unanswered opening packet is recorded

  Scenario: a port that is used again at once is no unanswered opening packet
    Guards against a live server that is taken out of rotation by callers that start again.
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And 300 ms pass
    And the second copy arrives of a flow that it opens with another sequence number
    Then no unanswered opening packet is recorded

  Scenario: an address without a route is refused at once while the catalog is fresh
    Given a dsr host that knows servers 1,2,3
    When a flow to port 444 is opened by caller 100.64.0.1:1000
    Then the caller gets a reset

  Scenario: an address without a route is not refused on an old catalog
    Guards against refusing a route that was added while the store could not be read.
    Given a dsr host that knows servers 1,2,3
    When 2100 ms pass
    And a flow to port 444 is opened by caller 100.64.0.1:1000
    Then nothing is sent

  Scenario: a service without servers is refused at once
    Given a dsr host that knows no servers
    When caller 100.64.0.1:1000 opens a flow
    Then the caller gets a reset

  Scenario: nothing is refused before the catalog is loaded
    Given a dsr host without a catalog
    When caller 100.64.0.1:1000 opens a flow
    Then nothing is sent

  Scenario: a draining server keeps its flows and gets no new ones
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the flow's server is draining
    And the caller sends data
    Then the data goes to the flow's server
    And none of 50 new flows goes to that server

  Scenario: flows of a server whose entry has expired go on
    Guards against resets of live servers' flows after an outage of the store.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the flow's server is removed
    And 2500 ms pass
    And the store is read again
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: flows of a removed server that does not register again are reset
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the flow's server is removed
    And 3100 ms pass
    And the store is read again
    And the caller sends data
    Then the caller gets a reset near its last acknowledgement

  Scenario: flows of a removed server go on during an outage of the store
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the flow's server is removed
    And 9000 ms pass
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: a packet with an unknown handle is dropped
    Given a dsr host that knows servers 1,2,3
    When the caller 100.64.0.1:1000 sends data with handle 12345
    Then nothing is sent

  Scenario Outline: malformed packets are dropped and counted
    Given a dsr host that knows servers 1,2,3
    When a packet that is <fault> arrives
    Then nothing is sent
    And it is counted as malformed

    Examples:
      | fault        |
      | empty        |
      | short        |
      | of more data |

  Scenario: new flows stay in the zone until its servers have much more load
    Given a dsr host in zone z1 that knows servers 1,2 of z1 and 3 of z2
    Then 8 new flows all go to servers of zone z1
    And some of 60 new flows go to zone z2

  Scenario: new flows are spread evenly over a zone's servers
    Given a dsr host that knows servers 1,2,3
    Then 30 new flows within a second differ by at most one between servers

  Scenario: an exception raised for one packet does not end the process
    Given a dsr host that knows servers 1,2,3
    When a packet that raises an exception is queued before an opening packet
    Then the opening packet is forwarded
    And the exception is logged

  Scenario: placement counts of removed servers expire
    Guards against memory use that grows with every server that ever existed.
    When 2000 flows are each placed on a new server within 400 s
    Then the host keeps placement counts of at most 130 servers

  Scenario: a service without servers leaves its share of a route to the others
    Guards against callers that are refused although the route has a service for them.
    Given a dsr host whose route is split 90 to 10 and whose second service has no server
    Then all of 100 new flows go to the first service
    And explain says that 1 of 1 servers takes new flows

  Scenario: a route whose services have only draining servers is refused
    Guards against an explanation that differs from what callers get.
    Given a dsr host that knows one draining server
    When caller 100.64.0.1:1000 opens a flow
    Then the caller gets a reset
    And explain says that the opening packet is refused

  Scenario: a route without a positive weight is refused
    Guards against an exception for each opening packet of such a route.
    Given a dsr host whose route has two services of weight 0
    When caller 100.64.0.1:1000 opens a flow
    Then the caller gets a reset

  Scenario: explain says that an old catalog causes no refusal
    Given a dsr host that knows one draining server
    When 3000 ms pass
    And caller 100.64.0.1:1000 opens a flow
    Then nothing is sent
    And explain says that the opening packet is dropped

  # A text that isn't encoded for the hash ended each opening at hosts that rank
  # themselves for a cold server.
  Scenario: a home host opens flows to a cold server at a low rate
    Given a host of a zone with 2 hosts and a cold server besides a warm one
    When 40 flows are opened within 1 second
    Then the cold server gets at most 1 opening and the warm server the others

  Scenario: any number of flows takes a bounded memory
    Guards against callers that open so many flows that the host exceeds its memory.
    Given a dsr host that knows servers 1,2,3
    When 70000 callers open flows and 70000 others send data on flows opened elsewhere
    Then the host has 65536 records of flows and counts no more as outstanding
    And the first caller's flow is still forwarded to its server
