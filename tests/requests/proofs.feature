Feature: proofs of at-most-once execution

  Scenario: the specification holds in every state
    Guards against an interleaving that runs a request twice, says "not run"
    falsely, or hands out another run's answer.
    When the requests specification "run_token" is explored
    Then it is explored exhaustively and holds
    When the requests specification "answer_matching" is explored
    Then it is explored exhaustively and holds

  Scenario Outline: without <variant> the specification is violated
    Guards against a model that cannot fail.
    When the requests specification "<variant>" is explored
    Then it has a counterexample to "<property>"

    Examples:
      | variant               | property          |
      | own_memory            | runs_at_most_once |
      | own_memory            | not_run_is_true   |
      | not_run_on_timeout    | not_run_is_true   |
      | retry_on_timeout      | runs_at_most_once |
      | not_run_keeps_token   | not_run_is_true   |
      | forget_before_expiry  | runs_at_most_once |
      | identifiers_from_zero | answer_of_own_run |

  Scenario: the dispatcher keeps the invariants under random interleavings
    Guards against code that differs from the specification.
    When the requests state machine runs with a fixed seed
    Then the requests state machine finds no violation

  Scenario: relayed first requests keep the invariants too
    Guards against a home host that runs a request twice or relays it on.
    When the requests state machine with home hosts runs with a fixed seed
    Then the requests state machine finds no violation

  Scenario: recorded traces have their expected outcomes
    Guards against the return of every counterexample and failure found so far.
    When all requests traces are replayed
    Then each requests trace has its expected outcomes

  Scenario: a trace with another outcome is noticed
    Guards against a replay that compares nothing.
    When a requests trace with a wrong outcome is replayed
    Then the requests replay names the difference

  Scenario: a malformed trace is refused with its line
    When a requests trace with a malformed line 2 is read
    Then the requests trace error names line 2
