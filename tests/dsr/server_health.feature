Feature: passive health checks of servers that answer callers directly

  Scenario: a server that leaves opening packets unanswered gets no new flows
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    Then the server is out of rotation

  Scenario: one unanswered opening packet does not take a server out of rotation
    Guards against taking a server out because of a single lost datagram.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a go unanswered
    Then the server is not out of rotation

  Scenario: a server that is out returns once it is seen alive
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    And the server is seen alive
    Then the server is not out of rotation

  Scenario: opening packets sent before the server was last seen alive do not count
    Guards against late reports of a slow host.
    Given a server that was last seen alive 0 s ago
    When opening packets that callers a,b sent 0.5 s ago are reported unanswered
    Then the server is not out of rotation

  Scenario: a server that is silent to open flows of several hosts is dead
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    And data of callers c is retransmitted 2 times
    And a peer reports that data of caller d is retransmitted 2 times
    Then the server is dead after 0.4 s

  Scenario: unanswered opening packets alone don't make a server dead
    Guards against resets of the flows at a full server, which ignores opening packets.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b,c go unanswered
    And a peer reports that opening packets of callers d,e went unanswered
    Then the server is not dead after 0.4 s
    And the server is not dead after 0.9 s
    And the server is out of rotation

  Scenario: a stalled flow and unanswered opening packets don't make a server dead
    Guards against resets of the flows at a full server when the link of one caller
    or one host fails.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    And a peer reports that opening packets of callers d,e went unanswered
    And a peer reports that data of caller c is retransmitted 2 times
    Then the server is not dead after 0.4 s
    And the server is not dead after 0.9 s

  Scenario: a first retransmission at another host is no sign of a second host
    Guards against resets of a live server's flows: two opening packets were late on
    one host's link, and a request at another host took longer than the caller's timer.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    And a peer reports that data of caller c is retransmitted 1 time
    Then the server is not dead after 0.4 s
    And the server is out of rotation

  Scenario: a stalled flow needs another at a second host
    Guards against resets by flows that stall at one host alone.
    Given a server that was last seen alive 1 s ago
    When data of callers a,b is retransmitted 2 times
    And a peer reports that data of caller c is retransmitted 1 time
    Then the server is not dead after 0.9 s

  Scenario: unanswered packets of one caller don't make a server dead
    Guards against resets when one caller's own link fails.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,a,a,a go unanswered
    Then the server is not dead after 0.4 s

  Scenario: unanswered packets at one host don't make a server dead
    Guards against resets by a host whose own link is saturated: a reader that sent
    full catalogs over 5 Mbit/s took live servers for dead.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b,c,d go unanswered
    And data of callers e,f is retransmitted 2 times
    Then the server is not dead after 5 s
    And the server is out of rotation

  Scenario: requests that take long do not make a server dead
    Guards against resets of flows whose request takes longer than the caller's
    retransmission timer.
    Given a server that was last seen alive 1 s ago
    When data of callers a,b,c,d is retransmitted 1 time
    Then the server is not dead after 5 s

  Scenario: flows that stall at several hosts make a server dead
    Given a server that was last seen alive 1 s ago
    When data of callers a is retransmitted 2 times
    And a peer reports that data of caller b is retransmitted 2 times
    Then the server is not dead after 0.7 s
    And the server is dead after 0.9 s

  Scenario: a dead server that is seen alive is back in rotation
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    And data of callers c is retransmitted 2 times
    And a peer reports that data of caller d is retransmitted 2 times
    Then the server is dead after 0.4 s
    When the server is seen alive
    Then the server is not dead after 0.4 s
    And the server is not out of rotation

  Scenario: old unanswered packets don't make a server dead
    Guards against a reset long after a partition has healed, by a host whose own
    flows had not used the server since.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    And data of callers c is retransmitted 2 times
    And a peer reports that data of caller d is retransmitted 2 times
    Then the server is dead after 0.4 s
    And the server is not dead after 2.5 s
    And the server is out of rotation

  Scenario: a recovered server is reported to peers
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    And a flow at this host shows the server alive
    Then its recovery is to be reported to peers

  Scenario: a server that is out gets one trial flow at a time
    Guards against a burst of flows to a server that may still be down.
    Given a server that was last seen alive 1 s ago
    When opening packets of callers a,b go unanswered
    Then one flow every 2 s is sent to the server as a trial

  Scenario: a flow of a dead server is reset when its caller sends data
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And 400 ms pass
    And the caller sends data
    Then the caller gets a reset near its last acknowledgement

  Scenario: an acknowledgement without data on a flow of a dead server causes no reset
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And 400 ms pass
    And the caller sends an acknowledgement without data
    Then the data goes to the flow's server

  Scenario: a flow that awaits a dead server's answer is reset at once
    Guards against callers that wait until their timeout: the server acknowledged
    the request before it died, so the caller sends nothing more.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And 400 ms pass
    And the host's periodic tick runs
    Then the caller gets a reset near its last acknowledgement
    When 100 ms pass
    And the host's periodic tick runs
    Then nothing is sent

  Scenario: flows of a dead server are reset as soon as its entry is removed
    Guards against callers whose requests go unanswered from the time when the
    unanswered packets of a crash are too old to count until a missing entry alone
    is proof.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And 400 ms pass
    And the host's periodic tick runs
    And 2500 ms pass
    And the caller sends data
    Then the data goes to the flow's server
    When the flow's server is removed from the store
    And the host's periodic tick runs
    Then the caller gets a reset near its last acknowledgement

  Scenario: flows of a server seen alive before its entry is removed go on
    Guards against resets of a live server's flows on reports that were refuted.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And 400 ms pass
    And the host's periodic tick runs
    And a peer reports that the flow's server is alive
    And the flow's server is removed from the store
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: an earlier death does not count when the entry is removed later
    Guards against resets of a live server's flows: it was unreachable once, no flow
    has shown it alive since, and its entry expires while the store is unavailable.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And 400 ms pass
    And the host's periodic tick runs
    And 5000 ms pass
    And the flow's server is removed from the store
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: idle flows of a dead server are not reset
    Guards against resets of flows whose callers await nothing.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And the server answers the caller's request
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And 400 ms pass
    And the host's periodic tick runs
    Then nothing is sent

  Scenario: data of an open flow reaches a full server
    Guards against resets of the flows at a full server: only opening packets go
    unanswered while the flows' callers pause.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report unanswered opening packets of 3 callers for the flow's server
    And 400 ms pass
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: a flow that awaits the answer of a full server is not reset
    Guards against resets by the host's timer, without a packet of the flow.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And 1000 ms pass
    And peers report unanswered opening packets of 3 callers for the flow's server
    And 400 ms pass
    And the host's periodic tick runs
    Then nothing is sent

  Scenario: flows of a full server go on after its entry is removed
    Guards against resets of a live server's flows: it was full, and its entry expired
    while the store was unavailable.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report unanswered opening packets of 3 callers for the flow's server
    And 400 ms pass
    And the host's periodic tick runs
    And the flow's server is removed from the store
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: a flow whose opening packet went to a dead server is not reset
    Guards against ending a connection attempt that another server can still accept.
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And peers report that flows of 2 callers stall at the opened flow's server
    And 400 ms pass
    And the host's periodic tick runs
    Then nothing is sent

  Scenario Outline: flows of a live server are never reset, whatever packets are lost
    Guards against resets that the flow's server did not send. The server answers
    each packet that reaches it; packets and answers are lost at random,
    requests take up to 500 ms, and hosts exchange reports with a delay.
    Then in 20 runs with <hosts> hosts and a packet loss of <loss> no flow is reset

    Examples:
      | hosts | loss  |
      | 1     | 0.002 |
      | 3     | 0.002 |
      | 3     | 0.01  |

  Scenario Outline: flows of full servers are never reset
    Guards against resets of the flows at full servers, which ignore the opening packets
    of further callers. Callers pause, so that no flow shows a server alive for a while.
    Then in 10 runs with <hosts> hosts, a packet loss of <loss> and servers for <capacity> flows no flow is reset

    Examples:
      | hosts | loss | capacity |
      | 3     | 0    | 2        |
      | 3     | 0.01 | 2        |
      | 7     | 0.02 | 5        |

  Scenario Outline: callers of a server that failed are told before they give up
    Guards against callers that wait for a dead server although another could serve
    them within their shortest time budget of 1.2 s.
    Then in 10 runs with <hosts> hosts and <callers> callers each request lost at a dead server is reset within 1200 ms

    Examples:
      | hosts | callers |
      | 2     | 40      |
      | 7     | 60      |

  Scenario: of full servers only one that fails has its flows reset
    Guards against callers that wait for a full server which died, and against resets at
    the other full ones.
    Then in 10 runs with 7 hosts and 60 callers at servers for 10 flows each request lost at a dead server is reset within 1200 ms

  Scenario Outline: flows of a live server are never reset over narrow links
    Guards against resets when uploads fill the links of several hosts: packets wait
    or are dropped there while the server acknowledges what reaches it.
    Then in 4 runs with <hosts> hosts at <mbps> Mbit/s and <uploaders> uploading callers no flow is reset

    Examples:
      | hosts | mbps | uploaders |
      | 3     | 2    | 9         |
      | 6     | 1    | 9         |

  Scenario Outline: hosts that stand still never reset flows of a live server
    Guards against hosts that judge by the time at which they run again, while what
    their callers and peers have sent since still waits.
    Then in 6 runs with <hosts> hosts that stand still now and then no flow is reset

    Examples:
      | hosts |
      | 2     |
      | 4     |

  Scenario: an upload that goes on shows the server alive
    Guards against a silence that is none: the caller's acknowledgements stand still
    during an upload.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends packets 1 to 16 of an upload
    And 1000 ms pass
    And the caller sends packets 17 to 17 of an upload
    Then the server was seen alive 0 ms ago

  Scenario: an upload within the caller's window shows nothing
    Guards against a dead server that passes for alive.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends packets 1 to 1 of an upload
    And 1000 ms pass
    And the caller sends packets 2 to 16 of an upload
    Then the server was seen alive 1000 ms ago

  Scenario: packets that wait at the host's own link are not unanswered
    Guards against a host that takes servers out because its own link is full.
    Given a dsr host at 1 Mbit/s that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And 60000 bytes are sent to peers
    And caller 100.64.0.2:1000 opens a flow
    And 200 ms pass
    And the caller repeats its opening packet
    Then no opening packet counts as unanswered

  Scenario: a host that was paused does not take its own pause for silence
    Guards against resets by a host that judges before it has read what arrived
    while it stood still.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And 1000 ms pass
    And peers report that flows of 2 callers stall at the flow's server
    And the host runs its loop
    And 600 ms pass
    And the host runs its loop
    Then nothing is sent
    When the host runs its loop for 400 ms
    Then the caller gets a reset near its last acknowledgement

  Scenario: a packet and its retransmission that waited together are not unanswered
    Guards against an overloaded host that reads a caller's packet and its repetition
    one batch after the other.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the host reads 100 packets and a repetition, 300 ms a batch
    Then no data counts as repeated
