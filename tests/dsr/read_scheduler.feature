Feature: which host reads the store, and when

  Scenario: a host that is relieved while it reads stops
    Guards against hosts that go on reading for ever beside the reader, because
    each answer made them readers again.
    Given the reading duty of the host at position 3
    When a read begins
    And fresh news of the host at position 0 arrive
    And the read is answered
    Then the host does not read on

  Scenario: a host that comes first in the order goes on
    Given the reading duty of the host at position 0
    When a read begins
    And fresh news of the host at position 3 arrive
    And the read is answered
    Then the host reads on

  Scenario: old news relieve nobody
    Given the reading duty of the host at position 3
    When a read begins
    And the read is answered
    And old news of the host at position 0 arrive
    Then the host reads on

  Scenario Outline: knowledge grows old at each place of the order
    Given the reading duty of the host at position <position>
    Then its next read is due at an age of <least> s to <most> s

    Examples:
      | position | least | most |
      | 0        | 1.49  | 1.51 |
      | 2        | 1.79  | 1.81 |
      | 30       | 2.3   | 2.52 |

  Scenario: knowledge may grow older where news have more time
    Given the reading duty of the host at position 0 where news have 5 s
    Then its next read is due at an age of 2.49 s to 2.51 s

  Scenario: failed reads back off
    Guards against a storm of calls on a store that is down.
    Given the reading duty of the host at position 30
    When 6 reads fail one after the other
    Then the next read is due in 4.2 s to 6 s

  Scenario: after a failed read everything is read
    Guards against changes that a watch passed before it was cut.
    Given the reading duty of the host at position 0
    When 1 reads fail one after the other
    Then the next read is of everything
