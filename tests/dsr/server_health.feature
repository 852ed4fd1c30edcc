Feature: evidence on servers that answer callers directly

  Scenario: a server that leaves openings unanswered gets no new flows
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b get no answer
    Then the server is out

  Scenario: one unanswered opening is not enough
    Guards against taking a server out for a lost datagram.
    Given evidence on a server that was alive 1 s ago
    When openings of callers a get no answer
    Then the server is not out

  Scenario: progress after an opening was sent refutes it
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b get no answer
    And the server makes progress
    Then the server is not out

  Scenario: openings sent before the last progress say nothing
    Guards against signs that arrive late from a slow host.
    Given evidence on a server that was alive 0 s ago
    When callers a,b find openings that they sent 0.5 s ago unanswered
    Then the server is not out

  Scenario: a server that is silent for callers of several hosts is dead
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b get no answer
    And a peer sees data of caller c repeated 1 time
    Then the server is dead after 0.4 s

  Scenario: signs of one caller don't make a server dead
    Guards against resets where one caller's own link fails.
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,a,a,a get no answer
    Then the server is not dead after 0.4 s

  Scenario: signs of one host don't make a server dead
    Guards against resets by a host whose own link is full: a reader that passed
    on whole catalogs over 5 Mbit/s took living servers for dead.
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b,c,d get no answer
    And data of callers e,f is repeated 2 times
    Then the server is not dead after 5 s
    And the server is out

  Scenario: work that takes long does not make a server dead
    Guards against resets of flows whose request runs longer than the caller's
    timer for repetitions.
    Given evidence on a server that was alive 1 s ago
    When data of callers a,b,c,d is repeated 1 time
    Then the server is not dead after 5 s

  Scenario: flows that stall at several hosts make a server dead
    Given evidence on a server that was alive 1 s ago
    When data of callers a is repeated 2 times
    And a peer sees data of caller b repeated 2 times
    Then the server is not dead after 0.7 s
    And the server is dead after 0.9 s

  Scenario: progress that a peer saw brings a server back
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b get no answer
    And a peer sees data of caller c repeated 1 time
    Then the server is dead after 0.4 s
    When the server makes progress
    Then the server is not dead after 0.4 s
    And the server is not out

  Scenario: death is not believed on old signs
    Guards against a reset long after a cut has healed, by a host whose own flows
    had not used the server since (servers-and-crowds on tandem-aqp).
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b get no answer
    And a peer sees data of caller c repeated 1 time
    Then the server is dead after 0.4 s
    And the server is not dead after 2.5 s
    And the server is out

  Scenario: peers are told of a server that is back
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b get no answer
    And a flow of this host proves the server alive
    Then peers are told that it is alive

  Scenario: a server that is out is tried again by one flow at a time
    Guards against a rush of flows on a server that may still be gone.
    Given evidence on a server that was alive 1 s ago
    When openings of callers a,b get no answer
    Then one flow in 2 s tries the server again

  Scenario: flows of a dead server are reset with their next data
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that the flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the caller sends data
    Then the caller gets a reset near its last acknowledgement

  Scenario: acknowledgements alone on flows of a dead server are not reset
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that the flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the caller sends an acknowledgement without data
    Then the data goes to the flow's server

  Scenario: a caller that waits for a dead server's answer is told at once
    Guards against callers that wait until their time is over: the server took the
    request before it died, so that the caller sends nothing more.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And 1000 ms pass
    And peers report that the flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the host looks after its flows
    Then the caller gets a reset near its last acknowledgement
    When 100 ms pass
    And the host looks after its flows
    Then nothing is sent

  Scenario: a dead server whose entry is removed is gone at once
    Guards against callers whose requests go unanswered between the moment when the
    signs of a crash are old and the one when a missing entry alone is proof.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that the flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the host looks after its flows
    And 2500 ms pass
    And the caller sends data
    Then the data goes to the flow's server
    When the flow's server is removed from the store
    And the host looks after its flows
    Then the caller gets a reset near its last acknowledgement

  Scenario: a server that came back before its entry lapsed is not gone at once
    Guards against resets of a living server's flows on signs that it refuted.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that the flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the host looks after its flows
    And a peer reports that the flow's server is alive
    And the flow's server is removed from the store
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: a death long ago says nothing about a missing entry
    Guards against resets of a living server's flows: it was cut off once, had no
    flows since that prove it alive, and its entry lapses while the store is away.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 1000 ms pass
    And peers report that the flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the host looks after its flows
    And 5000 ms pass
    And the flow's server is removed from the store
    And the caller sends data
    Then the data goes to the flow's server

  Scenario: idle flows of a dead server are left alone until their next data
    Guards against resets of flows that nobody waits on.
    Given a dsr host that knows servers 1,2,3
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And the server answers the caller's request
    And 1000 ms pass
    And peers report that the flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the host looks after its flows
    Then nothing is sent

  Scenario: opening packets of a dead server are not reset
    Guards against ending a caller's attempt that another server still can take.
    Given a dsr host that knows servers 1,2,3
    When caller 100.64.0.1:1000 opens a flow
    And peers report that the opened flow's server leaves openings of 3 callers unanswered
    And 400 ms pass
    And the host looks after its flows
    Then nothing is sent

  Scenario Outline: a living server is never reset, whatever is lost on the way
    Guards against resets that the flow's server did not send. The server answers
    each packet that reaches it; packets and answers are lost at random, work
    takes up to 500 ms, and hosts tell each other of signs with a delay.
    Then in 20 runs with <hosts> hosts and <loss> of packets lost no flow is reset

    Examples:
      | hosts | loss  |
      | 1     | 0.002 |
      | 3     | 0.002 |
      | 3     | 0.01  |
