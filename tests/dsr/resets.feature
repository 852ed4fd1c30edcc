Feature: model of flow resets after a server's entry is removed

  Scenario: no run of the model resets a flow of a live server
    Then the flow resets model holds with all mechanisms

  Scenario Outline: each mechanism is needed
    Guards against a model that holds even without a mechanism.
    Then the flow resets model fails without <mechanism>

    Examples:
      | mechanism           |
      | reregistration_wait |
      | death_expiry        |
      | relisting           |
