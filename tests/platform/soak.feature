@processes
Feature: randomized soak of real nodes

  Scenario: a short seeded soak keeps all promises
    When the soak plays seed 1
    Then the soak finds nothing

  Scenario Outline: the soak finds a node without its <mechanism>
    Guards against a soak that can't fail.
    When the soak plays seed <seed> with nodes without <mechanism>
    Then the soak finds "<finding>"

    Examples:
      | mechanism | seed | finding     |
      | freshness | 2    | after drain |
      | drain     | 2    | after drain |
      | handle    | 1    | a flow moved |
