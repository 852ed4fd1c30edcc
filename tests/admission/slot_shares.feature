Feature: admission by slot shares

  Scenario: the queue holds only what can start in time
    Guards against accepted work that misses its deadline in a surge (M2, promise P9).
    Given an admission host with plug-in "slot_shares" and 2 servers of 3 slots
    And it has served 30 bookings
    When 500 bookings are offered at once
    Then all offers beyond the queue were refused at once, with spread retry times
    When requests are served for 3 s
    Then all accepted bookings started in time to meet their deadline
    And all bookings have been answered or refused

  Scenario: queued work is refused when its server stops answering
    Guards against callers that wait past their deadline for an answer (promise P9).
    Given an admission host with plug-in "slot_shares" and 1 servers of 3 slots
    When 8 bookings are offered at once
    And no request ends for 2.1 s
    Then 0 tickets wait and 5 are refused
    And the reason of all refusals is deadline_unreachable

  Scenario: a caller that floods does not delay others
    Guards against a queue in which one caller's backlog comes before all others.
    Given an admission host with plug-in "slot_shares" and 1 servers of 3 slots
    And it has served 30 bookings
    When caller 1 offers 60 bookings and then callers 2 to 4 offer one each
    And requests are served for 0.15 s
    Then callers 2 to 4 are among the 9 started next

  Scenario: a caller that retries at once gains little
    Guards against unfairness in favour of callers that ignore their retry time (M2).
    Given an admission host with plug-in "slot_shares" and 1 servers of 3 slots
    And it has served 30 bookings
    When an impatient caller offers 15 times as often as 5 others for 20 s
    Then the impatient caller got at most 1.5 times the mean of the others

  Scenario: reports of full servers are checked against refusals
    Guards against an idle service whose servers wrongly report full load.
    Given host h0 of 3 admission hosts with 2 servers of 3 slots
    When all servers report 1.0 load and 20 bookings are served
    And requests are served for 3 s
    And 5 bookings are offered at once
    Then 25 tickets are started

  Scenario: reports of idle servers do not exceed their slots
    Given host h0 of 3 admission hosts with 2 servers of 3 slots
    When all servers report 0.0 load and 20 bookings are served
    And 50 bookings are offered at once
    Then no server runs more than 3 tickets

  Scenario: a server that sheds gets less work until it recovers
    Guards against repeated attempts at a full server, and against never using it again.
    Given an admission host with plug-in "slot_shares" and 2 servers of 3 slots
    When server s0 answers refused to 1 requests
    And 6 bookings are offered at once
    Then server s1 runs 3 tickets
    And 3 tickets wait and 0 are refused
    When no request ends for 1 s
    Then server s0 runs 3 tickets

  Scenario: a server that joins is opened slot by slot
    Guards against cold servers that get a full share at once.
    Given an admission host with plug-in "slot_shares" and 2 servers of 3 slots
    When server s1 becomes absent
    And server s1 becomes present
    And 6 bookings are offered at once
    Then server s0 runs 3 tickets
    And server s1 runs 1 tickets
    When no request ends for 1.4 s
    Then server s1 runs 2 tickets

  Scenario: a server that comes back from draining is opened slot by slot
    Given an admission host with plug-in "slot_shares" and 2 servers of 3 slots
    When server s1 becomes draining
    And server s1 becomes active
    And 6 bookings are offered at once
    Then server s1 runs 1 tickets

  Scenario: running requests on a server that is listed again still count
    Guards against more work on a server than it has slots.
    Given an admission host with plug-in "slot_shares" and 1 servers of 3 slots
    When 3 bookings are offered at once
    And server s0 becomes absent
    And server s0 becomes present
    And no request ends for 1 s
    Then the next booking waits
    And no server runs more than 3 tickets

  Scenario: failing servers are ejected and probed
    Guards against a broken server that attracts work because it fails fast.
    Given an admission host with plug-in "slot_shares" and 4 servers of 3 slots
    When light load is offered for 3 s with failing servers s0
    And light load is offered for 10 s with failing servers s0
    Then at most 0.02 of the later starts went to s0
    When light load is offered for 20 s with failing servers none
    Then at least 0.1 of the later starts went to s0

  Scenario: ejection leaves most servers in use
    Guards against a host that ejects all servers for a fault of its own.
    Given an admission host with plug-in "slot_shares" and 4 servers of 3 slots
    When light load is offered for 5 s with failing servers s0,s1,s2,s3
    Then at least 3 servers got starts in the last second

  Scenario: long work gets its share and leaves the other slots open
    Guards against uploads that take all slots (M3).
    Given an admission host with plug-in "slot_shares" and 3 servers of 3 slots
    When 20 uploads are offered at once
    Then 3 uploads run
    And the next booking starts at once

  Scenario: short work does not starve long work
    Given an admission host with plug-in "slot_shares" and 2 servers of 3 slots
    When bookings are offered faster than they are served for 2 s
    And 3 uploads are offered at once
    And bookings are offered faster than they are served for 1 s
    Then 2 uploads run
    When bookings are offered faster than they are served for 3 s
    Then 1 uploads run

  Scenario: one upload runs on a host without a home slot for long work
    Guards against starvation where there are more hosts than long slots.
    Given host h6 of 9 admission hosts with 1 servers of 3 slots
    When 2 uploads are offered at once
    Then 1 uploads run
    And the next booking starts at once

  Scenario: a request that takes much longer than its class counts as long
    Guards against slow bookings that take slots in addition to uploads.
    Given an admission host with plug-in "slot_shares" and 1 servers of 3 slots
    And it has served 30 bookings
    When 1 bookings are offered at once
    And no request ends for 1 s
    And 1 uploads are offered at once
    Then 0 uploads run
    And the next booking starts at once

  Scenario: hosts with different views of the members do not exceed the slots
    Guards against overuse of slots that two hosts both own in their views.
    Given host h0 of 3 admission hosts with 2 servers of 3 slots
    When host h1 is leaving in the view of this host only
    And 40 bookings are offered at once
    Then no server runs more than 3 tickets
    When server s0 answers refused to 3 requests
    And requests are served for 6 s
    Then all bookings have been answered or refused

  Scenario: a retry avoids the servers that failed
    Given an admission host with plug-in "slot_shares" and 3 servers of 3 slots
    When a booking that failed at s0,s1 is offered
    Then that booking runs on none of s0,s1
    When a booking that failed at s0,s1,s2 is offered
    Then that booking runs
