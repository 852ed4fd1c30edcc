Feature: home hosts of a large region

  Scenario: few hosts answer without a hop
    Guards against a relay in regions of today's size.
    Given two requests hosts a and b
    Then no request of the two hosts is relayed

  Scenario: the run token names the home host
    Guards against a second hop when the caller repeats the request.
    Given eight requests hosts of which a and b are home hosts
    When a POST for home host a reaches two spare hosts
    Then each copy is relayed once and the requests token names host a

  Scenario: a retransmission by way of another host meets the first copy
    Guards against an idempotent request that two home hosts run.
    Given eight requests hosts of which a and b are home hosts
    When a GET for home host a reaches two spare hosts
    Then host a dispatches once and acknowledges the second copy alone

  Scenario: a home host dies with a request in its queue
    Guards against a caller that was told to wait by a host that is gone.
    Given eight requests hosts of which a and b are home hosts
    When home host a dies with a relayed GET in its queue
    Then its retransmission is served as soon as a view calls host a suspect

  Scenario: hosts disagree about the home hosts
    Guards against a request that two hosts relay to each other.
    Given eight requests hosts of which a and b are home hosts
    Then a booking for host a is relayed once where views disagree about a

  Scenario: a home host has just started
    Guards against requests that a host without a document drops.
    Given eight requests hosts of which a and b are home hosts
    Then no home host without a document gets a request
