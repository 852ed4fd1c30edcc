Feature: servers that one entry host cannot reach get no new flows of it

  Scenario: a killed server gets one opening packet at each trial
    Guards against new flows that are assigned to a dead server for ever.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    Then the host calls b0 unreachable once
    When 20 openings a second arrive for 60 s while b0 is silent
    Then b0 got 2 to 6 of the openings, none twice within 1 s
    And the host called no other server unreachable

  Scenario: repeated opening packets leave a killed server
    Guards against callers whose repeats go to the dead server for 15 s.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And the openings that b0 got are repeated
    Then none of the repeated openings goes to b0
    And the repeated openings stay with their new servers when repeated again

  Scenario: a trial's doubled packet stays with the server on trial
    Guards against one flow on two servers where the fabric doubles a packet.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And an opening tries b0 again
    Then the same opening goes to b0 again at once
    And the same opening goes elsewhere after 1.1 s

  Scenario: a server comes back at the first datagram heard
    Guards against a living server that stays without flows.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And the host hears b0
    Then the host calls b0 reachable again once
    And the next 60 openings give each server 8 to 12

  Scenario: a zone that is cut off serves from its own servers, then heals
    Guards against flows to servers across a partition, beyond half of them.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 20 s while b0 b1 c0 c1 are silent
    Then 20 openings without a trial go to a0 a1
    When 20 openings a second arrive for 60 s while none is silent
    Then the next 60 openings give each server 8 to 12

  Scenario: a server that answers late is not taken for unreachable for long
    Guards against false alarms by slow answers while other answers arrive.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 10 s and b0 answers after 1.5 s
    Then the host calls b0 unreachable once
    And the host calls b0 reachable again once
    And b0 answered at least 25 openings

  Scenario: a late answer reaches a caller whose flow has moved
    Guards against a handle that names another server than the one that answered.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And the openings that b0 got are repeated
    Then a packet with the handle of a late answer of b0 goes to b0

  Scenario: datagrams of a server are lost in one direction
    Guards against a server that gets packets and whose answers never arrive.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    Then the host calls b0 unreachable once
    And packets with a handle of b0 still go to b0

  Scenario Outline: <silent> are silent of servers with weights <weights>
    Guards against all new flows on too few servers by misleading evidence.
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

  Scenario: a surge makes all servers answer ever later
    Guards against servers taken out because they are busy.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 3 s while none is silent
    And 600 openings a second arrive for 5 s and each server answers 10 a second
    Then the host calls no server unreachable

  Scenario: one lost packet is no alarm
    Guards against servers taken out by loss on the way.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 1 openings a second arrive for 120 s and every 5th answer is lost
    Then the host calls no server unreachable

  Scenario: a host wakes from a pause
    Guards against evidence from before the pause, as answers were lost in it.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 30 openings arrive at once and the host pauses for 30 s
    And 20 openings a second arrive for 5 s while none is silent
    Then the host calls no server unreachable

  Scenario: a host wakes that had called a server unreachable
    Guards against a server that stays out by what was seen before the pause.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And 0 openings arrive at once and the host pauses for 30 s
    Then the next 60 openings give each server 8 to 12

  Scenario: an unreachable server moves to another endpoint
    Guards against evidence that belongs to a server's earlier process.
    Given a reachability host in zone a with servers a0 a1 b0 b1 c0 c1
    When 20 openings a second arrive for 5 s while b0 is silent
    And b0 moves to another endpoint
    Then the next 60 openings give each server 8 to 12

  Scenario: a random choice of servers and silences
    Guards against an excluded share above the bound, and against none left.
    Then the excluded servers keep to the bound for any servers and silences
