Feature: logs and metrics

  Scenario: an event is one line of key=value pairs
    When the log event "document_in_force" has a detail with quotes and a line break
    Then the log line is one line with the detail escaped

  Scenario: a value of any length takes one short line
    Guards against log lines of a megabyte, whose length another writer decides.
    When the log event "entry_unusable" has a detail of 900000 characters
    Then the log line has at most 4000 characters
    And the log line has the start and the end of the detail

  Scenario: each refusal reason has its own counter
    When refusals are counted for two reasons
    Then the rendered metrics contain both reasons

  Scenario: the rate limit of one event does not suppress other events
    Guards against a sender that fills the log with malformed packets.
    When 1000 lines of one event are logged within a second
    Then at most 25 lines of that event are allowed
    And a line of another event is allowed
    And the limiter reports the suppressed lines with the next line

  Scenario: the metrics of a node tell its memory
    Guards against a node that exceeds its memory and leaves nothing to see it by.
    When the metrics of a node are rendered
    Then they contain the resident memory of the process
