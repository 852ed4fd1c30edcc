Feature: what all admission plug-ins promise

  Scenario Outline: a refusal is final and at once
    Guards against a caller that was told "not run" while its request runs later (P4).
    The played host fails where a refused ticket starts or any ticket starts twice.
    Given an admission host with plug-in "<plugin>" and 2 servers of 3
    When bookings are offered faster than they are served for 10 s
    And 4 s pass in which requests are served
    Then all bookings have been answered or refused

    Examples:
      | plugin       |
      | slot_shares  |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario Outline: a leaving server gets nothing after the update
    Guards against new work on a server that drains (P6).
    Given an admission host with plug-in "<plugin>" and 2 servers of 3
    When 4 bookings are offered at once
    And server s1 becomes <state>
    And 12 bookings are offered at once
    And 1 s pass in which requests are served
    Then server s1 has got no new work
    And no server runs more than 3 tickets

    Examples:
      | plugin       | state    |
      | slot_shares  | draining |
      | slot_shares  | absent   |
      | random       | draining |
      | random       | absent   |
      | round_robin  | draining |
      | round_robin  | absent   |
      | least_loaded | draining |
      | least_loaded | absent   |

  Scenario Outline: closing answers queued work and keeps running work
    Guards against requests that a planned stop interrupts or leaves open (P7).
    Given an admission host with plug-in "<plugin>" and 1 servers of 3
    When 8 bookings are offered at once
    And the admission host closes
    Then 0 tickets wait and 5 are refused
    And the reason of all refusals is stopping
    And server s0 runs 3 tickets
    And a later booking is refused with stopping
    When 1 s pass in which requests are served
    Then 3 tickets are started
    And all bookings have been answered or refused

    Examples:
      | plugin       |
      | slot_shares  |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario Outline: a withdrawn ticket frees its place and never starts again
    Guards against work for callers that are gone, and against slots lost with them.
    Given an admission host with plug-in "<plugin>" and 1 servers of 3
    When 8 bookings are offered at once
    And a ticket is withdrawn while it waits
    Then server s0 runs 3 tickets
    When a ticket is withdrawn while it runs
    Then server s0 runs 3 tickets
    When 1 s pass in which requests are served
    Then the withdrawn ticket is not started again
    And 7 tickets are started

    Examples:
      | plugin       |
      | slot_shares  |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario Outline: without servers a request is refused at once
    Given an admission host with plug-in "<plugin>" and 1 servers of 3
    When 5 bookings are offered at once
    And server s0 becomes absent
    Then 0 tickets wait and 2 are refused
    And the reason of all refusals is no_server
    And a later booking is refused with no_server

    Examples:
      | plugin       |
      | slot_shares  |
      | random       |
      | round_robin  |
      | least_loaded |
