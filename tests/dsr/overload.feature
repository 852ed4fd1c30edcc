Feature: admission of new flows under overload

  Scenario: a burst of a low priority leaves the high priority its answers
    Guards against a burst that takes the answers of all routes alike.
    Given 24 hosts and 6 servers of an overloaded service
    And 150 requests/s of priority 0 from 0 s to 36 s
    And 120 requests/s of priority 1 from 0 s to 36 s
    And 240 requests/s of priority 1 from 8 s to 24 s
    When 36 s of load have passed
    Then nothing is refused from 0 s to 8 s
    And at least 95% of priority 0 are answered in time from 11 s to 24 s
    And each priority keeps at least 10% of its openings from 8 s to 24 s
    And nothing is refused from 29 s to 36 s

  Scenario: without admission the same burst takes a fifth of the answers
    Guards against a model of servers that shows no overload.
    Given 24 hosts and 6 servers of an overloaded service
    And hosts that admit all
    And 150 requests/s of priority 0 from 0 s to 24 s
    And 360 requests/s of priority 1 from 8 s to 24 s
    When 24 s of load have passed
    Then at most 80% of priority 0 are answered in time from 11 s to 24 s

  Scenario: shedding does not start and end over and over
    Guards against refusals that alternate with overload while the load is steady.
    Given 24 hosts and 6 servers of an overloaded service
    And 150 requests/s of priority 0 from 0 s to 30 s
    And 360 requests/s of priority 1 from 0 s to 30 s
    When 30 s of load have passed
    Then the hosts started shedding at most 2 times on average

  Scenario: a caller with 100 times the flows of others is refused before them
    Guards against one caller that takes the answers of all others.
    Given 12 hosts and 3 servers of an overloaded service
    And 120 requests/s of priority 0 from 0 s to 24 s
    And 40 requests/s of priority 1 from 0 s to 24 s
    And 80 requests/s of priority 1 by one caller from 4 s to 24 s
    When 24 s of load have passed
    Then that caller is refused more often than the others from 8 s to 24 s
    And each priority keeps at least 10% of its openings from 4 s to 24 s
    And priority 0 and the other callers are answered more often than if all were admitted

  Scenario: requests of one priority are not refused
    Guards against refusals that spare nobody.
    Given 24 hosts and 6 servers of an overloaded service
    And 510 requests/s of priority 1 from 0 s to 15 s
    When 15 s of load have passed
    Then nothing is refused from 0 s to 15 s

  Scenario: a priority that nobody uses any more does not keep shedding on
    Guards against refusals in favor of an idle route.
    Given 24 hosts and 6 servers of an overloaded service
    And 100 requests/s of priority 0 from 0 s to 4 s
    And 510 requests/s of priority 1 from 0 s to 20 s
    When 20 s of load have passed
    Then something is refused from 3 s to 8 s
    And nothing is refused from 15 s to 20 s

  Scenario: a server that fails alone starts no shedding
    Guards against refusals because of a dead server, which server health handles.
    Given 12 hosts and 6 servers of an overloaded service
    And 60 requests/s of priority 0 from 0 s to 12 s
    And 60 requests/s of priority 1 from 0 s to 12 s
    When 4 s of load have passed
    And a server of the overloaded service hangs
    And 12 s of load have passed
    Then nothing is refused from 0 s to 12 s

  Scenario: a restarted host admits all until it has an estimate
    Guards against refusals by a host that knows nothing.
    Given 24 hosts and 6 servers of an overloaded service
    And 150 requests/s of priority 0 from 0 s to 16 s
    And 360 requests/s of priority 1 from 0 s to 16 s
    When 10 s of load have passed
    And a host of the overloaded service restarts
    And 10.1 s of load have passed
    Then that host sheds nothing
    When 16 s of load have passed
    Then that host sheds load

  Scenario: answers that waited in a paused host are not counted
    Guards against refusals after a freeze without any overload.
    Given answer times of a host that went on at 8 s after a pause
    When 10 answers arrive at 8 s after 3 s
    Then there is no estimate at 8 s
    When 10 answers arrive at 9 s after 0.5 s
    Then the estimate at 9 s is beyond the objective
    And there is no estimate at 20 s

  Scenario: few or single slow answers are no overload
    Guards against refusals because of a lost packet.
    Given answer times of a host that went on at 0 s after a pause
    When 3 answers arrive at 8 s after 0.5 s
    Then there is no estimate at 8 s
    When 5 answers arrive at 20 s after 0.1 s
    And 1 answers arrive at 20 s after 0.5 s
    Then the estimate at 20 s is within the objective
    When 1 answers arrive at 20 s after 0.5 s
    Then the estimate at 20 s is beyond the objective

  Scenario: a host that was paused for longer than 10 s forgets the overload
    Guards against refusals on estimates of before a freeze.
    Given 12 hosts and 3 servers of an overloaded service
    And 75 requests/s of priority 0 from 0 s to 24 s
    And 60 requests/s of priority 1 from 0 s to 24 s
    And 120 requests/s of priority 1 from 0 s to 8 s
    When 7 s of load have passed
    Then that host sheds load
    When a host of the overloaded service is paused for 12 s
    And 24 s of load have passed
    Then nothing is refused from 13 s to 24 s

  Scenario: a caller that was refused and comes back is not counted again
    Guards against refusals that feed themselves.
    When a caller is refused 3 times in a row
    Then its work counts as one opening

  Scenario: memory is bounded with thousands of callers
    When 5000 callers open a flow each
    Then the work of at most 1024 callers is kept

  Scenario: a request without an answer is reported once
    Guards against overload that shows only as missing answers.
    Given a dsr host with observed answers and an objective of 400 ms
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And the caller sends data
    And 600 ms pass with ticks
    Then 0 failures are recorded
    When 3000 ms pass with ticks
    Then 1 failure is recorded

  Scenario: an open flow without a request is no failure
    Guards against idle flows that look like overload.
    Given a dsr host with observed answers and an objective of 400 ms
    When a server answers the flow that caller 100.64.0.1:1000 opens
    And 3600 ms pass with ticks
    Then 0 failures are recorded

  Scenario: operators see why callers are refused
    Guards against refusals without a stated reason.
    Given a dsr host with observed answers and an objective of 400 ms
    When the host sheds 60% of priority 0
    Then explain tells that 60% of priority 0 are refused

  Scenario: only the first copy of an opening packet is refused
    Guards against a refusal while a server holds the flow.
    Given a dsr host with observed answers and an objective of 400 ms
    When caller 100.64.0.1:1000 opens a flow
    And the host refuses all from now on
    And 200 ms pass
    And the caller repeats its opening packet
    Then the two datagrams went to two servers
    When caller 100.64.0.2:1000 opens a flow
    Then the opening packet of reason overload is refused
