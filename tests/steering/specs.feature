Feature: models of flow steering

  Scenario: one flow keeps one server while hosts have different documents
    Then the steering model one_server holds in all states

  Scenario Outline: the model <model> needs <part>
    Guards against a model that cannot fail.
    Then the steering model <model> without <part> has a counterexample

    Examples:
      | model          | part         |
      | one_server     | has_owner    |
      | one_server     | has_settle   |
      | leaving_server | has_bound    |
      | leaving_server | has_report   |

  Scenario: a leaving server gets no new flow after 3 s
    Then the steering model leaving_server holds in all states
