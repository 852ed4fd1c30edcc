Feature: spill of new flows to other zones

  Scenario: a zone with twice the demand of its servers beside idle zones
    Guards against servers that shed while those of other zones are idle.
    Given 30 hosts and 3 servers in each of zones z1,z2,z3
    And 60% of its capacity in zone z1 from 0 s to 36 s
    And 140% of its capacity in zone z1 from 5 s to 22 s
    When 36 s of load have passed
    Then zone z1 gets at least 95% of its answers in time from 10 s to 22 s
    And more are answered there than refused or shed without spill from 10 s to 22 s
    And the hosts of zone z1 spill nothing at the end

  Scenario: the same choices as without spill and admission while there is room
    Guards against bytes between zones, and against other choices, without need.
    Given 12 hosts and 3 servers in each of zones z1,z2,z3
    And 50% of its capacity in zone z1 from 0 s to 20 s
    And 60% of its capacity in zone z2 from 0 s to 20 s
    When 20 s of load have passed
    Then the same seed without spill and admission gives the same choices

  Scenario: full zones keep their flows
    Guards against flows that go to and fro between zones without any gain.
    Given 30 hosts and 3 servers in each of zones z1,z2
    And 120% of its capacity in zone z1 from 0 s to 20 s
    And 120% of its capacity in zone z2 from 0 s to 20 s
    When 20 s of load have passed
    Then the hosts of zone z1 spill at most 10% on average from 5 s to 20 s
    And the hosts of zone z2 spill at most 10% on average from 5 s to 20 s

  Scenario: a zone that is cut off gets no more flows
    Guards against flows sent to servers that can't be reached.
    Given 30 hosts and 3 servers in each of zones z1,z2
    And 150% of its capacity in zone z1 from 0 s to 30 s
    When 12 s of load have passed
    Then the hosts of zone z1 spill load
    When zone z1 can't reach zone z2
    And 24 s of load have passed
    Then the hosts of zone z1 spill nothing at the end
    When zone z1 reaches zone z2 again
    And 30 s of load have passed
    Then the hosts of zone z1 spill load

  Scenario: an evacuated zone gets no flows
    Guards against a spill that goes on during an evacuation.
    Given 30 hosts and 3 servers in each of zones z1,z2
    And 150% of its capacity in zone z1 from 0 s to 14 s
    When 8 s of load have passed
    And zone z2 of the overloaded service is evacuated
    And 14 s of load have passed
    Then no flow opened in zone z1 goes to zone z2 from 8 s to 14 s

  Scenario: the hosts of a zone don't move their flows at once
    Guards against a zone that is flooded by all hosts of another one.
    Given 30 hosts and 3 servers in each of zones z1,z2
    And 190% of its capacity in zone z1 from 0 s to 12 s
    When 12 s of load have passed
    Then the mean spill of zone z1 rises by at most 40% within any second

  Scenario: a restarted host and one paused for over 10 s spill nothing at first
    Guards against flows that go elsewhere on facts of before a failure.
    Given 30 hosts and 3 servers in each of zones z1,z2,z3
    And 200% of its capacity in zone z1 from 0 s to 5 s
    And 40% of its capacity in zone z1 from 5 s to 22 s
    When 5 s of load have passed
    And a host that spills is paused for 12 s
    And another host that spills restarts
    Then that other host spills nothing
    When 18 s of load have passed
    Then the host that was paused spills nothing
