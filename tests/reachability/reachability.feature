Feature: an entry host sends no new flows to servers that it cannot reach

  Scenario: a killed server gets one opening packet per trial
    Guards against new flows that are assigned to a dead server for ever.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    Then the host reports b0 unreachable once
    When 20 openings a second arrive for 60 s while b0 is silent
    Then b0 got 2 to 6 of the openings, none twice within 1 s
    And the host has reported no other server unreachable

  Scenario: repeated opening packets go to other servers than a killed one
    Guards against callers whose repeated packets go to a dead server for 15 s.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And the openings that b0 got are repeated
    Then none of the repeated openings goes to b0
    And the repeated openings stay with their new servers when repeated again

  Scenario: a duplicate of a trial's packet stays with the server on trial
    Guards against one flow on two servers when the fabric duplicates a packet.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And an opening goes to b0 as a trial
    Then the same opening goes to b0 again at once
    And the same opening goes elsewhere after 1.1 s

  Scenario: a server gets new flows again after its first datagram
    Guards against a live server that stays without new flows.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And the host receives a datagram from b0
    Then the host reports b0 reachable again once
    And the next 60 openings give each server 8 to 12

  Scenario: a partitioned zone uses only its own servers until the partition heals
    Guards against new flows to servers across a partition, which may be more than
    half of all servers.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 20 s while b0 b1 c0 c1 are silent
    Then 20 openings without a trial go to a0 a1
    When 20 openings a second arrive for 60 s while none is silent
    Then the next 60 openings give each server 8 to 12

  Scenario: a server that answers late is unreachable only for a short time
    Guards against exclusion because of slow answers while other answers arrive.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 10 s and b0 answers after 1.5 s
    Then the host reports b0 unreachable once
    And the host reports b0 reachable again once
    And b0 answered at least 25 openings

  Scenario: a late answer reaches a caller whose flow has moved
    Guards against a handle that names another server than the one that answered.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And the openings that b0 got are repeated
    Then a packet with the handle of a late answer of b0 goes to b0

  Scenario: datagrams of a server are lost in one direction
    Guards against new flows on a server that gets packets but whose answers are lost.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    Then the host reports b0 unreachable once
    And packets with a handle of b0 still go to b0

  Scenario Outline: <silent> of <servers> with weights <weights> are silent
    Guards against all new flows on too few servers because of wrong detection.
    Given a reachability host in zone a with servers <servers> of weights <weights>
    When 20 openings a second arrive for 30 s while <silent> are silent
    Then 40 openings without a trial go to <serving>

    Examples:
      | servers     | weights | silent      | serving     |
      | a0 a1 a2 a3 | 1,1,1,1 | a0 a1 a2    | any 2       |
      | a0 a1       | 3,1     | a0          | a0 a1       |
      | a0 a1       | 1,3     | a0          | a1          |
      | a0          | 1       | a0          | a0          |
      | a0 a1 b0 b1 | 1,1,1,1 | a0 a1 b0 b1 | a0 a1 b0 b1 |
      | a0 b0 b1 c0 | 1,3,3,3 | b0 b1 c0    | a0          |
      | b0 b1 c0 c1 | 1,1,1,1 | b0 b1 c0    | any 2       |

  Scenario: a surge of new flows delays the answers of all servers
    Guards against servers that are excluded because they are busy.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 3 s while none is silent
    And 600 openings a second arrive for 5 s and each server answers 10 a second
    Then the host reports no server unreachable

  Scenario: single lost answers make no server unreachable
    Guards against servers that are excluded because of packet loss.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 1 openings a second arrive for 120 s and every 5th answer is lost
    Then the host reports no server unreachable

  Scenario: a pause with unanswered opening packets makes no server unreachable
    Guards against opening packets from before the pause, whose answers were lost.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 30 openings arrive at once and the host pauses for 30 s
    And 20 openings a second arrive for 5 s while none is silent
    Then the host reports no server unreachable

  Scenario: a server that was unreachable before a pause gets new flows after it
    Guards against a server that stays excluded by state from before the pause.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And 0 openings arrive at once and the host pauses for 30 s
    Then the next 60 openings give each server 8 to 12

  Scenario: an unreachable server gets new flows after it has moved
    Guards against state that belongs to a server's earlier process.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And b0 moves to another endpoint
    Then the next 60 openings give each server 8 to 12

  Scenario: the excluded share is bounded for random servers
    Guards against an excluded share above the bound, and against excluding all.
    Then the excluded servers stay within the bound for any unreachable servers
