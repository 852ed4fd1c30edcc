Feature: components of admission

  Scenario: hosts with the same lists own each slot exactly once
    Guards against slots without an owner, which only borrowing would use.
    Then home slots are assigned once each, evenly, for any servers and hosts

  Scenario: a host's slots are spread over servers
    Guards against a host that owns one whole server and depends on it alone.
    Then 7 hosts with 7 servers of 3 slots own slots of 3 servers each

  Scenario: hosts own slots of their own zone first
    Then hosts in 2 zones with 2 servers each own slots of their own zone only

  Scenario: refusals lower a limit, which recovers more slowly after each one
    Guards against repeated attempts at a full server.
    Given an adaptive limit of 3 slots
    When a request is refused with 1 outstanding
    Then the limit allows 1 but not 2 outstanding
    And it allows 2 outstanding after 0.02 s
    When requests are refused 5 times with 0 outstanding
    Then it allows no request after 0.1 s
    And it allows one after 1 s

  Scenario: refused callers get successive retry times
    Guards against a second surge when all refused callers retry at one time.
    When 100 callers are refused at a throughput of 10 per second
    Then no second holds more than 12 of the retry times

  Scenario: an idle caller accumulates no credit
    Guards against a caller that saves up its share and then fills the queue.
    Given fair shares of an idle caller and of one with 50 accepted tickets
    Then the idle caller may add 1 ticket to a full queue but not 3
