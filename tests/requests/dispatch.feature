Feature: dispatch of requests

  Background:
    Given two requests hosts a and b

  Scenario: a token of 40 bytes is bound to service and caller
    Guards against a token that works for another caller or service.
    When a requests token is issued
    Then the requests token has 40 bytes and opens only for its service and caller
    And no changed byte of the requests token opens

  Scenario: a token sealed with the previous key is still accepted
    Guards against "outcome unknown" during a rotation of keys.
    Then a requests token opens under its previous key and not under a stranger's

  Scenario: a duplicate of an idempotent request joins the running one
    Guards against double load from retransmissions.
    When a GET is sent to host a twice
    Then 1 requests dispatch was made and 2 acknowledgements sent
    When the server answers the GET
    Then 1 requests reply was sent

  Scenario: a lost idempotent answer is retried elsewhere with jitter
    Guards against a retry at the server that just failed.
    When a GET is sent to host a and its answer is overdue
    Then the first try is cancelled and the second goes to another server

  Scenario: retries stay within their budget
    Guards against retry storms: 10 seconds of floor allow 10 retries.
    When 50 GETs are sent to host a and all their answers are lost
    Then 10 requests retries were counted

  Scenario: the budget grows with successes
    When 200 GETs succeed at host a and 50 more lose their answers
    Then 30 requests retries were counted

  Scenario: the longest path prefix decides the work class
    Guards against "/bookingsx" being taken for "/bookings".
    Then requests paths find these work classes
      | path        | work class |
      | /bookings   | bookings   |
      | /bookings/7 | bookings   |
      | /map/tiles  | map        |
      | /bookingsx  | none       |

  Scenario: an address that changes service is held
    Guards against two hosts that serve one address for different services.
    When the requests address moves to another service
    Then a request in the next 5 s is refused as "address_held" and later ones are not

  Scenario: a repeated booking finds its run while its address is held
    Guards against "not run" for a booking whose first copy runs: a host that was
    paused holds its addresses when the copies of its callers arrive.
    When a booking with a run token is at a server of host a
    And its copy arrives at host a while the address is held
    Then no booking is answered as not run
    When the server answers the booking
    Then both copies of the booking get that answer

  Scenario: a repeated booking at another host that holds the address is relayed
    Guards against "not run" from a host that doesn't know the booking's run.
    When a booking with a run token is at a server of host a
    And its copy arrives at host b while the address is held
    Then no booking is answered as not run

  Scenario: a booking that is refused while its address is held never runs
    Guards against a copy that runs after "not run" was said.
    When a booking with a run token arrives at host a while the address is held
    And its copy arrives at host a
    Then both are answered as not run and no server got the booking

  Scenario: a start for an unknown ticket frees the slot
    Guards against a slot that leaks when admission starts an ended ticket.
    When requests admission starts a ticket that has ended
    Then requests admission holds no started ticket

  Scenario: stored answers stay within their bound
    Guards against memory that grows with the size of answers.
    When 10 bookings of 1000 bytes are answered within 4000 bytes of store
    Then the 4 latest bookings have their answer and the others are unknown

  Scenario: a relay to an issuer that nobody knows ends after a grace time
    Guards against a caller that waits for a host that is gone.
    When host b relays a request to an issuer missing from its view
    Then its caller hears "issuer_gone" after 1 s

  Scenario: an issuer's death is noticed after the deadline of a relayed request
    Guards against a caller that gets no final answer: the issuer acknowledges,
    dies, membership notices it later than the deadline of 2 s.
    When host b relays a request whose issuer is called dead 6 s later
    Then its caller hears "issuer_gone" from host b

  Scenario: a relayed request ends at its deadline where the issuer is suspect
    Guards against a wait for certainty that the caller has no use for.
    When host b relays a request whose issuer is suspect from then on
    Then its caller hears "issuer_gone" from host b by 2.5 s

  Scenario: the host that replaced the issuer answers and tells the relaying host
    Guards against a wait for membership to notice the restart.
    When host a restarts between two relays from host b
    Then both requests callers hear "issuer_gone" once

  Scenario: a bad parameter is named
    When a requests dispatcher gets a token key of 3 bytes
    Then the requests parameter error names "token_key"

  Scenario: the baseline knows duplicates from its own memory alone
    Guards against a comparison with a baseline that does not run.
    Given two requests hosts a and b with the plug-in own_memory
    When a booking is delivered twice to host a and once to host b
    Then 2 requests dispatches were made
