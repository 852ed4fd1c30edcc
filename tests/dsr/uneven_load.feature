Feature: the benchmark of uneven load counts correctly

  Guards against figures of requests that are counted twice, never end, or are called
  refused although a server has run them.

  Scenario Outline: every request ends exactly once
    Given the short cases of uneven load with placement <placement>
    When they run with hosts that refuse every second new flow from 6 s on
    Then every request ends exactly once and no later than its timeout
    And no server has run a refused request
    And some requests were refused

    Examples:
      | placement              |
      | random                 |
      | least_outstanding      |
      | expected_wait+overload+spill |
