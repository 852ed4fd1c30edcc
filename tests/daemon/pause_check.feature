Feature: check of the version in force after a pause

  Scenario: a peer with the same version ends the check
    Given a pause check with peers and version 4 in force
    When the process was paused
    And a peer answers a query of this check with version 4
    Then the pause check is over

  Scenario: a peer with a newer version keeps the addresses held until it is in force
    Guards against serving a moved address by the document from before the pause.
    Given a pause check with peers and version 4 in force
    When the process was paused
    And a peer answers a query of this check with version 5
    Then the pause check goes on
    When version 5 comes into force after the pause
    Then the pause check is over

  Scenario: a reply that waited in the socket does not end the check
    Guards against taking a message from before the pause for current.
    Given a pause check with peers and version 4 in force
    When the process was paused
    And a reply to an older query reports version 4
    Then the pause check goes on

  Scenario: a host that reaches no peer resumes on its own after 5 seconds
    Guards against a partitioned zone that stops serving.
    Given a pause check with peers and version 4 in force
    When the process was paused
    And no peer answers for 4.9 seconds
    Then the pause check goes on
    When no peer answers for 0.2 seconds
    Then the pause check is over
    And the unconfirmed pause is counted

  Scenario: the first packet after a pause is not served by an outdated document
    Guards against processing a packet that waited in the socket before the pause
    is detected.
    Given a daemon driver that serves an address for requests
    Then a request from the fabric reaches the dispatcher as not held
    When the driver is paused for 30 seconds
    Then a request from the fabric does not reach the dispatcher yet
    When the driver runs for 0.6 seconds
    Then the request that waited reaches the dispatcher as held

  Scenario: requests that came during a pause are served once the version is confirmed
    Guards against refusing requests that can be served some milliseconds later.
    Given a daemon driver that serves an address for requests
    When the driver is paused for 30 seconds
    Then a request from the fabric does not reach the dispatcher yet
    When the pause check ends and the driver runs for 0.1 seconds
    Then the request that waited reaches the dispatcher as not held

  Scenario: more requests than may wait are refused at once
    Guards against a queue that grows without bound while no peer is reachable.
    Given a daemon driver that serves an address for requests
    When the driver is paused for 30 seconds
    And 201 requests arrive from the fabric
    Then 1 of them reaches the dispatcher as held
