Feature: slow start of cold servers

  Scenario Outline: no second exceeds the bound: <case>, bound <bound>
    Guards against hosts whose views of the members differ and that all open flows.
    When <hosts> hosts with a bound of <bound> open flows to cold servers in case <case>
    Then no cold server gets more than <bound> opening packets in any second

    Examples:
      | case        | hosts | bound |
      | calm        | 20    | 5     |
      | churn       | 20    | 5     |
      | churn       | 3     | 20    |
      | restart     | 20    | 5     |
      | restart     | 20    | 20    |
      | isolated    | 20    | 5     |
      | isolated    | 2     | 2     |
      | halves      | 20    | 5     |
      | halves      | 20    | 20    |
      | copies      | 20    | 5     |
      | zone_return | 20    | 5     |

  Scenario: only home hosts open flows to a cold server, each once per 1.25 s
    Given 20 hosts with a bound of 5 that know cold server 1
    Then 2 hosts open a flow to server 1
    And after 1.2 s, 0 hosts open a flow to server 1
    And after 0.1 s, 2 hosts open a flow to server 1

  Scenario Outline: <hosts> hosts of a zone use a bound of <bound>
    Given <hosts> hosts with a bound of <bound> that know cold server 1
    Then <openers> hosts open a flow to server 1

    Examples:
      | hosts | bound | openers |
      | 1     | 5     | 1       |
      | 2     | 5     | 2       |
      | 20    | 1     | 1       |
      | 20    | 0.9   | 0       |

  Scenario: a host that has just started leaves cold servers alone
    Guards against hosts that all restart at once and take themselves for home hosts.
    Given two hosts that have just started know cold server 1
    Then after 1.9 s, 0 hosts open a flow to server 1
    And after 0.2 s, 2 hosts open a flow to server 1

  Scenario: a host that lost most hosts of its zone after a calm time is no home host
    Guards against counting only hosts that joined within the last 60 s as members.
    Given 9 hosts with a bound of 20 that know cold server 1
    When 100 s pass and the hosts see only 4 of each other
    Then 0 hosts open a flow to server 1
    And after 61 s, 4 hosts open a flow to server 1

  Scenario: a home host that is lost is replaced only once it must have noticed
    Guards against a host that is cut off and its successor opening flows at once.
    Given 5 hosts with a bound of 3 that know cold server 1
    When the home host of server 1 is lost
    Then after 19 s, 0 hosts open a flow to server 1
    And after 2 s, 1 hosts open a flow to server 1

  Scenario: a home host that leaves is replaced at once
    Given 5 hosts with a bound of 3 that know cold server 1
    When the home host of server 1 leaves
    Then 1 hosts open a flow to server 1

  Scenario: an opening packet counts from when it leaves the host
    Guards against a busy link that brings two opening packets into one second.
    Given 1 hosts with a bound of 5 that know cold server 1
    When the host's link is busy for 1 s
    Then 1 hosts open a flow to server 1
    And after 1.3 s, 0 hosts open a flow to server 1
    And after 1 s, 1 hosts open a flow to server 1

  Scenario: a host that resumes after a pause waits before it opens flows
    Guards against a packet counted before the pause that leaves after it.
    Given 1 hosts with a bound of 5 that know cold server 1
    When the host resumes after a pause of 5 s
    Then 0 hosts open a flow to server 1
    And after 1.3 s, 1 hosts open a flow to server 1

  Scenario: a host that resumes with an old catalog spreads the openings that waited
    Guards against a burst to a server that restarted meanwhile (soak seed 171).
    Given 1 hosts with a bound of 5 that know warm server 1
    When the host resumes after a pause of 5 s with 8 openings and an old catalog
    Then server 1 gets 1 opening packet and the caller none

  Scenario: a duplicate of an opening packet isn't sent to a cold server again
    Given 1 hosts with a bound of 5 that know cold server 1
    When a caller's opening packet arrives twice
    Then server 1 gets 1 opening packet and the caller none

  Scenario: a duplicate of an opening packet isn't sent to an evacuated zone
    Given 1 hosts with a bound of 5 that know warm server 1
    When a caller's opening packet arrives again after the zone was evacuated
    Then server 1 gets 1 opening packet and the caller none

  Scenario: the trial of a cold server counts as its opening packet
    Given 1 hosts with a bound of 5 that know cold server 1
    When server 1 is out and due for a trial
    Then server 1 gets 1 opening packet and the caller none

  Scenario: an opening packet to a server that then restarts counts
    Given 1 hosts with a bound of 5 that know warm server 1
    Then 1 hosts open a flow to server 1
    When server 1 writes an entry with 5 s of cold time
    Then after 1.2 s, 0 hosts open a flow to server 1
    And after 0.1 s, 1 hosts open a flow to server 1

  Scenario: the entry of a restored store doesn't end the cold time
    Guards against a burst to a server that started after the copy was made.
    Given 20 hosts with a bound of 5 that know cold server 1
    When the store is restored with a warm entry of server 1
    Then 2 hosts open a flow to server 1

  Scenario: a server warms up after its entry tells the end of the cold time
    Guards against entries without cold time that end the warm-up at once.
    Given 20 hosts with a bound of 5 that know cold server 1 and warm server 2
    When server 1 writes an entry with 0 s of cold time
    Then after 1 s, 4 to 7 hosts may choose server 1
    And after 2 s, 10 to 14 hosts may choose server 1
    And after 2 s, 20 to 20 hosts may choose server 1

  Scenario: a single host of a zone sends few flows to a warming server at first
    Guards against a burst that fills the server's queue where the zone has few hosts.
    When a zone of 1 host serves 70% load as one of its 20 servers becomes warm
    Then the server gets at most 20 flows in the first second and sheds none

  Scenario: servers of a zone count as cold after its evacuation
    Given 20 hosts with a bound of 5 that know warm server 1
    When the evacuation of the zone ends
    Then 2 hosts open a flow to server 1
    And after 5.1 s, 20 hosts open a flow to server 1

  Scenario: openings are refused for cold servers only if nothing else is left
    Given 20 hosts with a bound of 0.9 that know cold server 1
    When a caller opens a flow at the first host
    Then the opening is refused for "cold_servers"

  Scenario: a warm server that is out is used before an opening is refused
    Given 20 hosts with a bound of 0.9 that know cold server 1 and warm server 2
    When server 2 is out and a caller opens a flow at the first host
    Then the opening goes to server 2

  Scenario: a later copy of an opening packet is dropped, not refused
    Guards against an untrue refusal if another host has placed the first copy.
    Given 20 hosts with a bound of 0.9 that know cold server 1
    When a caller sends a second copy to the first host
    Then nothing goes to the caller or a server

  Scenario Outline: a host that starts with <seeds> seeds and meets no peer
    Guards against a host that is cut off from its start on and believes to be alone.
    Given a starting host with <seeds> seeds that knows cold server 1
    Then after 3 s, <openers> hosts open a flow to server 1

    Examples:
      | seeds | openers |
      | 2     | 0       |
      | 0     | 1       |

  Scenario: ranks follow the members
    Guards against ranks that drift as they are adjusted rather than computed anew.
    Given 20 hosts with a bound of 5 that know cold server 1
    When the first host sees 40 changes of the members
    Then its rank for server 1 is that of a new computation

  Scenario: servers are not examined where none is cold or warming up
    Guards against CPU time for slow start at 15,000 servers.
    Given 1 hosts with a bound of 5 that know warm server 1
    Then the permitted servers are the catalog's list itself
