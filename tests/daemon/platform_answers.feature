Feature: events made from the platform's responses

  Scenario Outline: a platform response with <status> and revision <revision>
    Guards against an entry host that ends because of an invalid platform response.
    When the daemon gets a platform response with <status> and revision "<revision>"
    Then the platform event has revision <number> and the error "<error>"

    Examples:
      | status | revision | number | error          |
      | 200    | 17       | 17     | none           |
      | 200    | soon     | 0      | revision       |
      | 200    | -4       | 0      | revision       |
      | 200    | 5000 digits | 0   | revision       |
      | 304    | 17       | 5      | unchanged      |
      | 404    | 17       | 0      | none           |
      | 500    | 17       | 0      | status 500     |
