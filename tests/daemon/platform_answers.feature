Feature: answers of the platform as events

  Scenario Outline: a platform answer with <status> and revision <revision>
    Guards against an entry host that ends because the platform answers nonsense.
    When the daemon gets a platform answer with <status> and revision "<revision>"
    Then the platform event has revision <number> and the error "<error>"

    Examples:
      | status | revision | number | error          |
      | 200    | 17       | 17     | none           |
      | 200    | soon     | 0      | revision       |
      | 200    | -4       | 0      | revision       |
      | 304    | 17       | 5      | unchanged      |
      | 404    | 17       | 0      | none           |
      | 500    | 17       | 0      | status 500     |
