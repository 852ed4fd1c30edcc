Feature: messages between entry hosts

  Scenario: a message sealed with an accepted key is opened
    Given a peer codec with key 1
    When it seals a ping and opens the result
    Then the wire result is the ping

  Scenario: a stranger's message is refused
    Guards against steering of flows by a sender without the key.
    Given a peer codec with key 1
    When a sender with another key seals a ping
    Then opening it fails with "bad_mac"

  Scenario: any single changed byte is refused
    Given a peer codec with key 1
    When each byte of a sealed ping is changed in turn
    Then no changed message opens

  Scenario: old and new key are both accepted during a rotation
    Given a peer codec with keys 1 and 2 that sends with 2
    When a sender with key 1 seals a ping
    Then the wire result is the ping
