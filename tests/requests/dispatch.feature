Feature: dispatch of requests

  Background:
    Given two request hosts a and b

  Scenario: a run token of 40 bytes is bound to its service and caller
    Guards against a token that is valid for another caller or service.
    When a run token is issued
    Then the run token has 40 bytes and is valid only for its service and caller
    And the run token is invalid if any of its bytes is changed

  Scenario: a run token issued under the previous key is still accepted
    Guards against "outcome unknown" during a key rotation.
    Then a run token is valid under the previous key and not under an unrelated key

  Scenario: a duplicate of an idempotent request joins the request in progress
    Guards against duplicate load from retransmissions of one CoAP message.
    When a GET is sent to host a twice
    Then 1 request dispatch was made and 2 acknowledgements sent
    When the server answers the GET
    Then 1 request reply was sent

  Scenario: an idempotent request whose answer is lost is retried at another server after a jittered delay
    Guards against a retry at the server that just failed.
    When a GET is sent to host a and its answer is overdue
    Then the first attempt is cancelled and the second goes to another server

  Scenario: retries stay within their budget
    Guards against retry storms: the floor of 1 retry per second allows 10 retries
    in the window of 10 s.
    When 50 GETs are sent to host a and all their answers are lost
    Then 10 request retries were counted

  Scenario: the retry budget grows with successes
    When 200 GETs succeed at host a and 50 more lose their answers
    Then 30 request retries were counted

  Scenario: the longest path prefix decides the work class
    Guards against "/bookingsx" being taken for "/bookings".
    Then request paths have these work classes
      | path        | work class |
      | /bookings   | bookings   |
      | /bookings/7 | bookings   |
      | /map/tiles  | map        |
      | /bookingsx  | none       |

  Scenario: an address that changes service is held
    Guards against two hosts that serve one address for different services.
    When the request address moves to another service
    Then a request in the next 5 s is refused as "address_held" and later ones are not

  Scenario: a repeated booking joins the running one while its address is held
    Guards against "not run" for a booking that is running. After a pause a host
    holds its addresses, and retransmissions arrive at that time.
    When a booking with a run token was dispatched to a server by host a
    And another message with its run token arrives at host a while the address is held
    Then no booking is answered as not run
    When the server answers the booking
    Then both messages with the run token get that answer

  Scenario: a repeated booking at another host that holds the address is relayed
    Guards against "not run" from a host that has no record of the running booking.
    When a booking with a run token was dispatched to a server by host a
    And another message with its run token arrives at host b while the address is held
    Then no booking is answered as not run

  Scenario: a booking that is refused while its address is held never runs
    Guards against a run for a second message after the caller got "not run".
    When a booking with a run token arrives at host a while the address is held
    And another message with its run token arrives at host a
    Then both are answered as not run and no server receives the booking

  Scenario: a ticket that ended before admission starts it frees its slot
    Guards against a slot leak when admission starts a ticket that has ended.
    When admission starts a request ticket that has ended
    Then admission has no started request ticket

  Scenario: stored answers stay within their memory bound
    Guards against memory use that grows with the size of the answers.
    When 10 bookings of 1000 bytes are answered with a store of 4000 bytes
    Then the 4 latest bookings have their answers and the others get "outcome unknown"

  Scenario: a relay to an issuer missing from the view ends after the grace time
    Guards against a caller that waits for an answer of a dead host.
    When host b relays a request to an issuer missing from its view
    Then its caller gets the reason "issuer_gone" after 1 s

  Scenario: an issuer's death is detected after the deadline of a relayed request
    Guards against a caller without a final answer: the issuer acknowledges the
    request and dies, and membership detects that after the deadline of 2 s.
    When host b relays a request whose issuer is dead in its view at 6 s
    Then its caller gets the reason "issuer_gone" from host b

  Scenario: a relayed request ends at its deadline if its issuer is suspect
    Guards against a late answer: after the deadline its caller gains nothing from
    waiting until the issuer is known to be dead.
    When host b relays a request whose issuer becomes suspect
    Then its caller gets the reason "issuer_gone" from host b by 2.5 s

  Scenario: a restarted issuer answers the caller and notifies the relaying host
    Guards against an answer that waits until membership detects the restart.
    When host a restarts between two relays from host b
    Then both requests get the reason "issuer_gone" once

  Scenario: the error names an invalid parameter
    When a request dispatcher gets a token key of 3 bytes
    Then the request parameter error names "token_key"

  Scenario: the baseline detects duplicates by local state only
    Guards against benchmarks that compare with a baseline that does not work.
    Given two request hosts a and b with the plug-in own_memory
    When a booking is delivered twice to host a and once to host b
    Then 2 request dispatches were made
