Feature: messages between entry hosts

  Scenario: a message authenticated with an accepted key is decoded
    Given a peer codec with key 1
    When it encodes a ping and decodes the result
    Then the decoded message is the ping

  Scenario: a message authenticated with another key is refused
    Guards against a sender without the key that steers flows.
    Given a peer codec with key 1
    When a sender with another key encodes a ping
    Then decoding fails with "bad_mac"

  Scenario: a message with any single byte changed is refused
    Given a peer codec with key 1
    When each byte of an encoded ping is changed in turn
    Then no changed message is decoded

  Scenario: the old and the new key are accepted during a key rotation
    Given a peer codec with keys 1 and 2 that sends with 2
    When a sender with key 1 encodes a ping
    Then the decoded message is the ping
