Feature: contract of all admission plug-ins

  Scenario Outline: a refusal is immediate and final
    Guards against running a request after its caller was told "not run" (promise
    P4). The simulated host fails if a refused ticket starts or a ticket starts twice.
    Given an admission host with plug-in "<plugin>" and 2 servers of 3 slots
    When bookings are offered faster than they are served for 10 s
    And requests are served for 4 s
    Then all bookings have been answered or refused

    Examples:
      | plugin       |
      | slot_shares  |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario Outline: a leaving server gets no new work after the update
    Guards against new work on a server that drains (promise P6).
    Given an admission host with plug-in "<plugin>" and 2 servers of 3 slots
    When 4 bookings are offered at once
    And server s1 becomes <state>
    And 12 bookings are offered at once
    And requests are served for 1 s
    Then server s1 got no new work
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

  Scenario Outline: closing refuses queued work and keeps running work
    Guards against requests that a planned stop interrupts or leaves unanswered
    (promise P7).
    Given an admission host with plug-in "<plugin>" and 1 servers of 3 slots
    When 8 bookings are offered at once
    And the admission host closes
    Then 0 tickets wait and 5 are refused
    And the reason of all refusals is stopping
    And server s0 runs 3 tickets
    And a later booking is refused with stopping
    When requests are served for 1 s
    Then 3 tickets are started
    And all bookings have been answered or refused

    Examples:
      | plugin       |
      | slot_shares  |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario Outline: a withdrawn ticket frees its slot and never starts again
    Guards against work for callers that gave up, and against leaked slots.
    Given an admission host with plug-in "<plugin>" and 1 servers of 3 slots
    When 8 bookings are offered at once
    And a ticket is withdrawn while it waits
    Then server s0 runs 3 tickets
    When a ticket is withdrawn while it runs
    Then server s0 runs 3 tickets
    When requests are served for 1 s
    Then the withdrawn ticket is not started again
    And 7 tickets are started

    Examples:
      | plugin       |
      | slot_shares  |
      | random       |
      | round_robin  |
      | least_loaded |

  Scenario Outline: without servers a request is refused at once
    Given an admission host with plug-in "<plugin>" and 1 servers of 3 slots
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
