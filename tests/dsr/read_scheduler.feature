Feature: which host reads the store, and when

  Scenario: a host that yields during a read stops reading
    Guards against hosts that keep reading forever beside the reader, because each
    answer made them readers again.
    Given the read scheduler of the host at position 3
    When a read begins
    And a fresh update of the host at position 0 arrives
    And the read is answered
    Then the host stops reading

  Scenario: a host that is first in the reading order keeps reading
    Given the read scheduler of the host at position 0
    When a read begins
    And a fresh update of the host at position 3 arrives
    And the read is answered
    Then the host keeps reading

  Scenario: a stale update does not make a host yield
    Given the read scheduler of the host at position 3
    When a read begins
    And the read is answered
    And a stale update of the host at position 0 arrives
    Then the host keeps reading

  Scenario Outline: the catalog age at which a host reads depends on its position
    Given the read scheduler of the host at position <position>
    Then its next read is due at a catalog age of <least> s to <most> s

    Examples:
      | position | least | most |
      | 0        | 1.49  | 1.51 |
      | 2        | 1.79  | 1.81 |
      | 30       | 2.3   | 2.52 |

  Scenario: a longer freshness time allows an older catalog
    Given the read scheduler of the host at position 0 with a freshness of 5 s
    Then its next read is due at a catalog age of 2.49 s to 2.51 s

  Scenario: failed reads back off
    Guards against a burst of calls to a store that is down.
    Given the read scheduler of the host at position 30
    When 6 reads fail in a row
    Then the next read is due in 1.6 s to 2.4 s

  Scenario: a failed read is followed by a full one
    Guards against missing changes that a watch had advanced past before it failed.
    Given the read scheduler of the host at position 0
    When 1 reads fail in a row
    Then the next read is a full one

  Scenario: a watch that the store refuses again after a full read backs off
    Guards against full reads without a pause.
    Given the read scheduler of the host at position 0
    When a watch fails as compacted
    Then the next read is due in 0 s to 0 s
    When a full read is answered
    And a watch fails as compacted
    Then the next read is due in 0.2 s to 0.3 s

  Scenario: a full read follows each lost history at once while watches are answered
    Given the read scheduler of the host at position 0
    When a full read is answered
    And a watch is answered
    And a watch fails as restored
    Then the next read is due in 0 s to 0 s

  Scenario: a watch with too many changes is followed by a full read at once
    Given the read scheduler of the host at position 0
    When a watch fails as oversized
    Then the next read is due in 0 s to 0 s
    And the next read is a full one
