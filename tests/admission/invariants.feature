Feature: invariants of admission

  Scenario: slot_shares keeps its invariants in any order of calls
    Guards against starts after a refusal or withdrawal, double starts, work on
    leaving servers, and servers without a slot for short work.
    Then the admission invariants hold in any order of calls

  Scenario: the state machine detects a violation
    Then the same state machine finds a violation in plug-in "round_robin"

  Scenario Outline: the model "<name>" holds
    Then the model "<name>" holds and its faulty variant does not

    Examples:
      | name                              |
      | a refused ticket never starts     |
      | a leaving server gets no new work |
