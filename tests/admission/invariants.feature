Feature: invariants of admission

  Scenario: any order of calls keeps the promises of slot_shares
    Guards against starts after a refusal or withdrawal, double starts, work on
    leaving servers, and servers without a slot for short work.
    Then the admission invariants hold in any order of calls

  Scenario: the state machine can fail
    Then the same machine finds a violation on plug-in "round_robin"

  Scenario Outline: specifications
    Then the specification "<name>" holds and its faulty variant does not

    Examples:
      | name                              |
      | a refused ticket never starts     |
      | a leaving server gets no new work |
