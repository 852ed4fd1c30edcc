Feature: logs and metrics

  Scenario: an event is one line of key=value pairs
    When the log event "document_in_force" has a detail with quotes and a line break
    Then the log line is one line with the detail escaped

  Scenario: each refusal reason has a counter of its own
    When refusals are counted for two reasons
    Then the rendered metrics hold both reasons
