Feature: memory of received messages

  Scenario: a response is freed once it is no longer used
    Guards against bodies that are kept until the garbage collector runs, which counts
    objects and not their size: the pages of one read exceeded a host's memory.
    When 50 responses of 1 MiB are received and dropped one after the other
    Then the process holds at most 4 MiB more than before

  Scenario: a request is freed once it is answered
    When 50 requests with a target of 60 KiB are answered one after the other
    Then the process holds at most 1 MiB more than before
