@processes
Feature: randomized soak of real nodes

  Scenario: a short seeded soak keeps all promises
    When the soak plays seed 1
    Then the soak finds nothing

  Scenario: nothing counts as left alone while it is harmed
    Guards against promises that are checked during a fault which lasts longer than
    the contact bound (seed 401).
    Given a soak world whose store and node are harmed for 5 s
    Then neither counts as left alone after 4.5 s
    And neither counts as left alone after 8.5 s
    And both count as left alone after 9.5 s

  Scenario Outline: the soak finds a node without its <mechanism>
    Guards against a soak that can't fail.
    When the soak plays seed <seed> with nodes without <mechanism>
    Then the soak finds "<finding>"

    Examples:
      | mechanism | seed | finding     |
      | freshness | 2    | after drain |
      | drain     | 2    | after drain |
      | handle    | 1    | a flow moved |
