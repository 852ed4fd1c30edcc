Feature: memory of received messages

  Scenario: a response is freed once it is no longer used
    Guards against bodies that are kept until the garbage collector runs, which counts
    objects and not their size: the pages of one read exceeded a host's memory.
    When 50 responses of 1 MiB are received and dropped one after the other
    Then the process holds at most 4 MiB more than before

  Scenario: a request is freed once it is answered
    When 50 requests with a target of 60 KiB are answered one after the other
    Then the process holds at most 1 MiB more than before

  Scenario: a message of many empty elements is dropped
    Guards against a message of a megabyte that takes a gigabyte once decoded.
    When a peer's message lists 1000000 servers without fields
    Then it is dropped as malformed
    And at most 16 MiB were allocated at once

  Scenario: messages that are received at once share a bounded memory
    Guards against senders that together fill the memory of a host.
    Given a message port
    When 60 connections send 1900000 bytes each and stay open
    Then at most 16 MiB were allocated at once
    And the port receives a message within 4 s
