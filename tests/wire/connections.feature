Feature: errors of one connection end no process

  Guards against a process that ends because of what one connection sends, or of how it
  ends: each other node gets the same connection in turn.

  Scenario Outline: what a connection sends does not end the <port>
    Given a <port> that records unexpected errors
    When 200 connections send random and mutated requests
    Then the <port> still serves
    And no unexpected error was recorded

    Examples:
      | port          |
      | page server   |
      | message port  |

  Scenario Outline: connections that <ending> do not end the <port>
    Given a <port> that records unexpected errors
    When 20 connections <ending>
    Then the <port> still serves

    Examples:
      | port          | ending                                |
      | page server   | are reset before they are accepted    |
      | message port  | are reset before they are accepted    |
      | page server   | are reset after half of a request     |
      | message port  | are reset after half of a request     |
      | page server   | are half-closed after half of a request |
      | message port  | are half-closed after half of a request |

  Scenario Outline: a request that offers <offer> is answered
    Guards against a process that ends, or a request without an answer, where a client of
    HTTP/1.1 offers to go on in another protocol.
    Given a page server that records unexpected errors
    When a request with "<offer>" is sent
    Then it is answered with status 200

    Examples:
      | offer                                                  |
      | Connection: Upgrade, HTTP2-Settings; Upgrade: h2c; HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA |
      | Connection: Upgrade; Upgrade: websocket                |
      | Connection: keep-alive                                 |

  Scenario: pipelined requests get one answer and end the connection
    Given a page server that records unexpected errors
    When 3 requests are sent at once on one connection
    Then it is answered with status 200
    And the page server still serves

  Scenario Outline: an unexpected error in <place> is recorded and ends nothing
    Given a <port> that fails in <place>
    When a connection makes it fail
    Then one unexpected error was recorded
    And the <port> still serves

    Examples:
      | port          | place               |
      | page server   | its answer          |
      | message port  | its message handler |

  Scenario: a message to a port that does not exist is dropped
    Given a message port that records unexpected errors
    When it sends a message to port 70000
    Then the message port still serves

  Scenario: a store that answers with another protocol fails the request
    Guards against an error that no reader of the store expects.
    When a server answers a request with status 101
    Then the request fails with an HTTP error

  Scenario Outline: a response over a narrow link is waited for while it arrives
    Guards against a host with a narrow link that can't read a store with large entries,
    A store that goes silent halfway ends the wait.
    When a store sends a response of 1400000 bytes at <rate> bytes a second and <then>
    Then a request with a timeout of 0.7 s <result> within <seconds> s

    Examples:
      | rate   | then                  | result   | seconds |
      | 600000 | completes it          | succeeds | 4       |
      | 600000 | stops after a quarter | fails    | 2.5     |
      | 50000  | completes it          | fails    | 2       |
