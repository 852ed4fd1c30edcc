Feature: home hosts of a large region

  Scenario: hosts of a small region relay nothing
    Guards against needless relays in regions of up to 7 hosts.
    Given two request hosts a and b
    Then no request to the two hosts is relayed

  Scenario: the run token names the home host
    Guards against a second relay when the caller repeats the request.
    Given eight request hosts of which a and b are home hosts
    When a POST for home host a reaches two other hosts
    Then each copy is relayed once and the run token names host a

  Scenario: a retransmission through another host joins the first copy
    Guards against an idempotent request that two home hosts run.
    Given eight request hosts of which a and b are home hosts
    When a GET for home host a reaches two other hosts
    Then host a dispatches it once and acknowledges only the second copy

  Scenario: a home host dies with a request in its queue
    Guards against a caller that waits because a host acknowledged its request and
    died.
    Given eight request hosts of which a and b are home hosts
    When home host a dies with a relayed GET in its queue
    Then its retransmission is served as soon as host a is suspect in a view

  Scenario: hosts disagree about the home hosts
    Guards against a request that two hosts relay to each other.
    Given eight request hosts of which a and b are home hosts
    Then a booking for host a is relayed once if views disagree about a

  Scenario: a home host has just started
    Guards against requests lost at a host that has no document yet.
    Given eight request hosts of which a and b are home hosts
    Then no home host without a document gets a request
