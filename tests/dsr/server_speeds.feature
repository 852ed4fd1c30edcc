Feature: servers of differing speeds

  Scenario Outline: load follows the speeds of servers
    Guards against slow servers that get as many flows as fast ones.
    Given <hosts> hosts and 18 servers with service times 1.67, 1 and 0.63 times as long
    When 40 s of requests have passed
    Then each kind of server gets its share by speed within 25%

    Examples:
      | hosts |
      | 2     |
      | 20    |

  Scenario: a server that turns slow loses its new flows and gets them back
    Guards against callers' waits at a server that is disturbed for a while. A host gets
    some 6 samples of a server in a second, and 12 are enough to outweigh old ones.
    Given 20 hosts and 20 alike servers
    When one server takes 5 times as long for 20 s
    Then from 4 s after the change it gets less than half of an equal share
    And within 10 s after its return it gets at least 80% of an equal share

  Scenario Outline: a server that fails at once attracts no flows
    Guards against a black hole: a failing server has nothing to do. Callers close their
    flows, or say nothing after the server's reset, which the host notices after 3 to 4 s.
    Given 20 hosts and 20 alike servers
    When one server fails each request for 20 s, seen by the hosts after <seconds> s
    Then from 4 s after the change it gets less than an equal share

    Examples:
      | seconds |
      | 0.01    |
      | 4       |

  Scenario: a zone that is slow as a whole has no slow servers
    Guards against servers that are avoided for the time that all requests take. The load
    is low, since servers with a queue do take longer than others.
    Given 5 hosts and 20 alike servers that get 100 requests a second
    When all servers take 3 times as long for 5 s
    Then no host takes any server for slow or fast

  Scenario: hosts do not all choose the fastest server
    Guards against a herd: every host without requests would choose the same server.
    Given 20 hosts that know 1 fast server and 19 others
    Then of 20 flows opened at once by different hosts at most 6 go to one server

  Scenario: slowness within the dead band changes no choice
    Guards against changes for deployments whose servers are alike.
    Given servers whose slowness is between 0.7 and 1.4
    Then 2000 choices equal those of least_outstanding with the same seed
    And nothing is to be sent to peers

  Scenario: old reports no longer count
    Guards against a server that is avoided long after its peers' last report.
    Given a server that peers report as 4 times slower
    Then its slowness is 4 after 5 s
    And its slowness is 1 after 10 s

  Scenario Outline: a server that leaves or starts again is forgotten
    Guards against a new process that inherits the slowness of the one before.
    Given a server that peers report as 4 times slower
    When its entry is <change>
    Then its slowness is 1

    Examples:
      | change              |
      | removed             |
      | listed anew as cold |

  Scenario Outline: malformed reports change nothing
    Guards against a faulty peer that turns all flows away from a server.
    Given a server that peers report as 1 times slower
    When a report has <samples> samples with the sum <ratio_sum> for <server>
    Then its slowness is 1
    And the report is counted as <reason>

    Examples:
      | samples | ratio_sum | server         | reason         |
      | 4       | nan       | the server     | malformed      |
      | 4       | inf       | the server     | malformed      |
      | 4       | -8        | the server     | malformed      |
      | -4      | 8         | the server     | malformed      |
      | 0       | 8         | the server     | malformed      |
      | 4       | 8         | another server | unknown_server |

  Scenario: reports go to a few hosts of the own zone, once a second
    Guards against traffic that grows with the square of the number of hosts.
    Given 40 members in 2 zones
    And a server that peers report as 4 times slower
    When a host with own samples of the server runs for 5 s, its first second without samples
    Then each of 4 reports goes to 8 hosts of its zone
    And a host that receives one has a slower server

  Scenario: a report with a huge count and sum is limited
    Guards against a faulty peer that outweighs all others.
    Given a server that peers report as 1 times slower
    When a report has 2147483647 samples with the sum 1e300 for the server
    Then peers can bring its slowness back to the dead band with 8 reports

  Scenario Outline: requests that end without an answer count as failures
    Given a dsr host that knows servers 1,2,3
    And the answers that it sees are observed
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And <end>
    Then one failure is recorded

    Examples:
      | end                                |
      | the host runs its loop for 4500 ms |
      | the caller closes the flow         |
      | the host resets the flow           |

  Scenario: the time on the way is told from the time at the server
    Guards against fast and slow servers that look alike to callers far away.
    Given a dsr host that knows servers 1,2,3
    And the answers that it sees are observed
    When caller 100.64.0.1:1000 opens a flow
    And 30 ms pass
    And the flow's server answers the handshake
    Then a handshake of 30 ms is recorded

  Scenario: a flow without a request is no failure
    Guards against callers that open flows early and count against their servers.
    Given a dsr host that knows servers 1,2,3
    And the answers that it sees are observed
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the host runs its loop for 4500 ms
    Then no failure and no answer is recorded

  Scenario: a host that stood still learns nothing from that time
    Guards against servers that look slow or failed since this host was frozen.
    Given a dsr host that knows servers 1,2,3
    And the answers that it sees are observed
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And the host runs its loop
    And 5000 ms pass
    And the host runs its loop
    And the server answers the caller's request
    And the host runs its loop for 4500 ms
    Then no failure and no answer is recorded

  Scenario: explain shows the slowness of a server, its age and its source
    Given a server that peers report as 4 times slower
    Then its description is 4.0, 500 ms old, from peers
