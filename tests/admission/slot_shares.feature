Feature: admission by slot shares

  Scenario: the queue holds only what can start in time
    Guards against accepted work that misses its deadline in a surge (M2, P9).
    Given an admission host with plug-in "slot_shares" and 2 servers of 3
    And it has served 30 bookings
    When 500 bookings are offered at once
    Then all offers beyond the queue were refused at once, at spread times
    When 3 s pass in which requests are served
    Then all accepted bookings started in time to meet their deadline
    And all bookings have been answered or refused

  Scenario: queued work is refused when its server stops answering
    Guards against callers that wait past their deadline for an answer (P9).
    Given an admission host with plug-in "slot_shares" and 1 servers of 3
    When 8 bookings are offered at once
    And 2.1 s pass in which nothing ends
    Then 0 tickets wait and 5 are refused
    And the reason of all refusals is deadline_unreachable

  Scenario: a caller that floods does not delay others
    Guards against a queue in which one caller's backlog comes before all others.
    Given an admission host with plug-in "slot_shares" and 1 servers of 3
    And it has served 30 bookings
    When caller 1 offers 60 bookings and then callers 2 to 4 offer one each
    And 0.15 s pass in which requests are served
    Then callers 2 to 4 are among the 9 started next

  Scenario: a caller that returns at once gains little
    Guards against losing fairness to callers that ignore the time told (M2).
    Given an admission host with plug-in "slot_shares" and 1 servers of 3
    And it has served 30 bookings
    When a hasty caller offers 15 times as often as 5 others for 20 s
    Then the hasty caller got at most 1.5 times the mean of the others

  Scenario: reports of full servers are checked against refusals
    Guards against a service that stands idle because its servers lie.
    Given host h0 of 3 admission hosts with 2 servers of 3
    When all servers report 1.0 load and 20 bookings are served
    And 3 s pass in which requests are served
    And 5 bookings are offered at once
    Then 25 tickets are started

  Scenario: reports of idle servers do not exceed their slots
    Given host h0 of 3 admission hosts with 2 servers of 3
    When all servers report 0.0 load and 20 bookings are served
    And 50 bookings are offered at once
    Then no server runs more than 3 tickets

  Scenario: a server that sheds gets less work until it recovers
    Guards against hammering a full server, and against giving it up.
    Given an admission host with plug-in "slot_shares" and 2 servers of 3
    When server s0 answers refused to 1 requests
    And 6 bookings are offered at once
    Then server s1 runs 3 tickets
    And 3 tickets wait and 0 are refused
    When 1 s pass in which nothing ends
    Then server s0 runs 3 tickets

  Scenario: a server that joins is opened slot by slot
    Guards against cold servers that get a full share at once.
    Given an admission host with plug-in "slot_shares" and 2 servers of 3
    When server s1 becomes absent
    And server s1 becomes present
    And 6 bookings are offered at once
    Then server s0 runs 3 tickets
    And server s1 runs 1 tickets
    When 1.4 s pass in which nothing ends
    Then server s1 runs 2 tickets

  Scenario: a server that comes back from draining is opened slot by slot
    Given an admission host with plug-in "slot_shares" and 2 servers of 3
    When server s1 becomes draining
    And server s1 becomes active
    And 6 bookings are offered at once
    Then server s1 runs 1 tickets

  Scenario: old work on a server that is listed again still counts
    Guards against more work on a server than it has slots.
    Given an admission host with plug-in "slot_shares" and 1 servers of 3
    When 3 bookings are offered at once
    And server s0 becomes absent
    And server s0 becomes present
    And 1 s pass in which nothing ends
    Then the next booking waits
    And no server runs more than 3 tickets

  Scenario: failing servers are ejected and probed
    Guards against a broken server that attracts work because it fails fast.
    Given an admission host with plug-in "slot_shares" and 4 servers of 3
    When servers s0 fail all requests for 3 s of light load
    And servers s0 fail all requests for 10 s of light load
    Then at most 0.02 of the later starts went to s0
    When servers none fail all requests for 20 s of light load
    Then at least 0.1 of the later starts went to s0

  Scenario: ejection leaves most servers in use
    Guards against a host that ejects all servers for a fault of its own.
    Given an admission host with plug-in "slot_shares" and 4 servers of 3
    When servers s0,s1,s2,s3 fail all requests for 5 s of light load
    And servers s0,s1,s2,s3 fail all requests for 5 s of light load
    Then at least 0.95 of the later starts went to s0,s1,s2,s3
    And at most 0.75 of the later starts went to s0,s1
    And at most 0.75 of the later starts went to s2,s3

  Scenario: long work holds its share and leaves the rest open
    Guards against uploads that take all slots (M3).
    Given an admission host with plug-in "slot_shares" and 3 servers of 3
    When 20 uploads are offered at once
    Then 3 uploads run
    And the next booking starts at once

  Scenario: long work is never starved by short work
    Given an admission host with plug-in "slot_shares" and 2 servers of 3
    When bookings are offered faster than they are served for 2 s
    And 3 uploads are offered at once
    And bookings are offered faster than they are served for 1 s
    Then 2 uploads run
    When bookings are offered faster than they are served for 3 s
    Then 1 uploads run

  Scenario: one upload runs on a host without a long slot of its own
    Guards against starvation where there are more hosts than long slots.
    Given host h6 of 9 admission hosts with 1 servers of 3
    When 2 uploads are offered at once
    Then 1 uploads run
    And the next booking starts at once

  Scenario: a request that overruns its class counts as long
    Guards against slow bookings that take the slots next to uploads.
    Given an admission host with plug-in "slot_shares" and 1 servers of 3
    And it has served 30 bookings
    When 1 bookings are offered at once
    And 1 s pass in which nothing ends
    And 1 uploads are offered at once
    Then 0 uploads run
    And the next booking starts at once

  Scenario: hosts with different views of the members stay within the slots
    Guards against unsafe use of slots that two hosts both count as their own.
    Given host h0 of 3 admission hosts with 2 servers of 3
    When host h1 leaves the members of this host only
    And 40 bookings are offered at once
    Then no server runs more than 3 tickets
    When server s0 answers refused to 3 requests
    And 6 s pass in which requests are served
    Then all bookings have been answered or refused

  Scenario: a retry avoids the servers that failed
    Given an admission host with plug-in "slot_shares" and 3 servers of 3
    When a booking that failed at s0,s1 is offered
    Then that booking runs on none of s0,s1
    When a booking that failed at s0,s1,s2 is offered
    Then that booking runs
