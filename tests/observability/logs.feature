Feature: logs and metrics

  Scenario: an event is one line of key=value pairs
    When the log event "document_in_force" has a detail with quotes and a line break
    Then the log line is one line with the detail escaped

  Scenario: each refusal reason has a counter of its own
    When refusals are counted for two reasons
    Then the rendered metrics hold both reasons

  Scenario: a flood of one event leaves room for the others
    Guards against a log that a stranger fills with malformed packets.
    When 1000 lines of one event are logged within a second
    Then at most 25 lines of that event pass
    And the log lines of another event pass
    And the next line names how many log lines were suppressed
