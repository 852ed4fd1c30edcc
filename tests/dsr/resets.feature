Feature: model of resets on missing entries

  Scenario: no run of the model resets a flow of a live server
    Then the flow resets model holds with all mechanisms

  Scenario Outline: each mechanism is needed
    Guards against a model that holds even without the mechanisms that it checks.
    Then the flow resets model fails without <mechanism>

    Examples:
      | mechanism    |
      | return_wait  |
      | death_memory |
      | relisting    |
