Feature: models of at-most-once execution

  Scenario: the models hold in every state
    Guards against an interleaving in which a request runs twice, is answered "not
    run" falsely, or gets the answer of another run.
    When the request model "run_token" is explored
    Then it is explored exhaustively and holds
    When the request model "answer_matching" is explored
    Then it is explored exhaustively and holds

  Scenario Outline: the variant <variant> of a model violates <property>
    Guards against a model whose properties cannot fail.
    When the request model "<variant>" is explored
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
    Guards against code that differs from the model.
    When the request state machine runs with a fixed seed
    Then the request state machine finds no violation

  Scenario: the invariants hold for relayed first requests too
    Guards against a home host that runs a request twice or relays it on.
    When the request state machine with home hosts runs with a fixed seed
    Then the request state machine finds no violation

  Scenario: recorded traces have their expected outcomes
    Guards against the recurrence of every counterexample and failure found so far.
    When all request traces are replayed
    Then each request trace has its expected outcomes

  Scenario: a trace with a wrong outcome is reported
    Guards against a replay that compares nothing.
    When a request trace with a wrong outcome is replayed
    Then the request replay names the difference

  Scenario: a malformed trace is rejected with its line number
    When a request trace with a malformed line 2 is read
    Then the request trace error names line 2
