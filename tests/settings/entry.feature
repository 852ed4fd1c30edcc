Feature: settings of an entry host

  Scenario: complete settings are accepted
    Given complete entry settings
    When the settings are loaded
    Then the settings are accepted

  Scenario: a flag overrides its environment variable
    Given complete entry settings
    And the variable HORNBEAMDEAL_ZONE is "almaty-a"
    When the settings are loaded
    Then the zone setting is "aqp-cercado"

  Scenario Outline: an invalid setting is refused with the expected format
    Guards against hosts that start with invalid settings.
    Given complete entry settings
    And the setting <name> is "<value>"
    When the settings are loaded
    Then the settings are refused for <name> with "<text>"

    Examples:
      | name         | value          | text                  |
      | peer_listen  | localhost:6002 | IP address            |
      | linger       | 15             | unit ms, s or m       |
      | peer_keys    | 1:abcd         | at least 32 hex       |
      | sending_key  | 9              | one of the peer_keys  |
      | zone         | a b            | letters, digits       |
      | colour       | red            | unknown               |

  Scenario: all missing settings are reported at once
    Given no entry settings
    When the settings are loaded
    Then each required setting is reported as missing
