Feature: adapter to the platform's names and formats

  Scenario: the protocol's example packet is decoded and its handle written
    Given the platform's example of an opening packet
    Then it opens a flow from 100.64.0.7:40001 to 198.18.0.1:443
    And only bytes 12 to 15 change when handle 0x01020304 is written

  Scenario: a reset is encoded as in the protocol's example
    Given the platform's example of an opening packet
    Then its reset equals the protocol's example, sent to 100.64.0.7 at the callers' port

  Scenario Outline: an invalid entry is rejected
    Guards against invalid entries from other writers.
    When the platform's entry has <fault>
    Then no server is decoded from it

    Examples:
      | fault                      |
      | no address                 |
      | a host name as address     |
      | a port that is too high    |
      | an unknown state           |
      | text as slots              |
      | true as slots              |
      | a list as service          |
      | a service of 256 characters |
      | a zone of 256 characters   |
      | bytes that are not JSON    |
      | JSON that is not an object |

  Scenario: a configuration may split a route among services
    When a configuration splits a route 90 to 10
    Then the route has both services with their weights

  Scenario: the store is read page by page
    Given a stand-in store with 120 servers on pages of 50
    When the adapter loads the store
    Then it has 120 servers and the configuration
    And the store got 3 calls

  Scenario: one call reads the configuration with the servers
    Guards against calls that grow with the restarts of a fleet, since each is paid for.
    Given a stand-in store with 40 servers on pages of 50
    When the adapter loads the store
    Then it has 40 servers and the configuration
    And the store got 1 calls

  Scenario: an unusable entry is logged once and the others are loaded
    Given a stand-in store with 3 servers and an unreadable entry
    When the adapter loads the store
    And the adapter loads the store
    Then it has 3 servers and the configuration
    And one unusable entry is logged

  Scenario Outline: a failed read of the store has a reason
    Given a stand-in store with 3 servers on pages of 50
    When the store answers <status>
    Then the adapter's load fails as <reason>

    Examples:
      | status | reason      |
      | 503    | unavailable |
      | 429    | throttled   |
      | 500    | refused     |

  Scenario: a read of a silent store fails after the time limit
    Given a stand-in store with 3 servers on pages of 50
    When the store does not answer
    Then the adapter's load fails as lost

  Scenario: a watch returns changes and removals
    Given a stand-in store with 3 servers on pages of 50
    When a server drains and another leaves
    Then the adapter's watch returns one drained and one removed server

  Scenario: a watch from a compacted revision fails as compacted
    Given a stand-in store with 3 servers on pages of 50
    When the store drops its history
    Then the adapter's watch fails as compacted

  Scenario: an answer carries the epoch of the store's history
    Guards against failures that can't be told from others after a restored store.
    Given a stand-in store with 2 servers on pages of 50
    And answers of the store that carry epoch 3
    When the adapter loads the store
    Then the update has epoch 3
    And the change to epoch 3 is logged

  Scenario: an answer without an epoch belongs to the last one
    Guards against full reads because an error response lacks the epoch.
    Given a stand-in store with 2 servers on pages of 50
    And answers of the store that carry epoch 3
    When the adapter loads the store, and again as answers carry no epoch
    Then the update has epoch 3
    And the change to epoch 3 is logged

  Scenario: pages of two histories make no copy
    Given a stand-in store with 60 servers on pages of 50
    And answers of the store that carry epoch 3
    When the store is restored between two pages of a load
    Then the load fails as restored

  Scenario Outline: an answer whose epoch can't be read is garbled
    Given a stand-in store with 2 servers on pages of 50
    And answers of the store that carry epoch <epoch>
    Then the adapter's load fails as garbled

    Examples:
      | epoch                |
      | -1                   |
      | three                |
      | 99999999999999999999 |

  Scenario: a server whose entry becomes unreadable is removed
    Given a stand-in store with 3 servers on pages of 50
    When a server's entry becomes unreadable
    Then the adapter's watch returns no drained and one removed server

  Scenario: a watch over several values of the maximum size is answered
    Guards against a full read of the store each time that large values come together.
    Given a stand-in store with 3 servers on pages of 50
    When 3 odd entries of 1048576 bytes are written
    Then the adapter's watch tells of 3 unusable entries

  Scenario: a key with half a surrogate pair is not passed on to peers
    Guards against a message to the peers that can't be encoded, so that no update
    reaches them while the entry is there.
    Given a stand-in store with 3 servers on pages of 50
    When a server's entry has half a surrogate pair in its key
    Then the adapter's watch tells of one unusable key and no removal
    And peers can be sent the adapter's update
    And a node's log can hold it

  Scenario: a key with half a surrogate pair at the end of a page
    Guards against a request for the next page that can't be encoded, which ended the
    node at each start.
    Given a stand-in store with 3 servers on pages of 3
    When a server's entry has half a surrogate pair in its key
    And the adapter loads the store
    Then it has 3 servers and the configuration
    And one unusable entry is logged

  Scenario: an unexpected error in the first read does not end the start
    Guards against one answer of the store that ends each node as it starts.
    When the first read of a start raises an unexpected error
    Then the start goes on and counts 1 unexpected error

  Scenario: unusable entries that are removed take no memory
    Guards against memory use that grows with every odd entry that ever was.
    Given a stand-in store with 3 servers and 200 unreadable entries
    When the adapter loads the store
    And the unreadable entries are removed
    And the adapter loads the store
    Then the adapter remembers no unusable entry

  Scenario: unusable entries that a watch sees removed take no memory
    Given a stand-in store with 3 servers and 200 unreadable entries
    When the adapter loads the store
    And the unreadable entries are removed
    And the adapter watches from its last read
    Then the adapter remembers no unusable entry

  Scenario: a start that takes long reads the store again
    Guards against a host that starts slowly and serves by a first read that was old.
    Given a start that forwards packets between imports and reads the store each 2.4 s
    When imports go on for 5 s
    Then the store is read again 2 times

  Scenario: imports within the event loop read no store
    Guards against an event loop that stands still while the store does not answer.
    Given a start that forwards packets between imports and reads the store each 2.4 s
    When the event loop runs
    And imports go on for 5 s
    Then the store is read again 0 times

  Scenario Outline: a start reads a stale copy only where nothing can have left
    Guards against a restarted host that uses a server which had left, or a route which
    was withdrawn, because its first copy is seconds old.
    When a host starts <when> and the store answers a consistent read with "<failure>"
    Then its reads allow a stale copy: <reads>

    Examples:
      | when               | failure     | reads     |
      | for the first time |             | yes       |
      | again              |             | no        |
      | again              | unavailable | no,yes    |
      | again              | throttled   | no,yes    |
      | again              | lost        | no        |

  Scenario: evacuations are read with the servers
    Given a stand-in store with 3 servers on pages of 2
    When the operator evacuates z1
    And the adapter loads the store
    Then it has 3 servers and the configuration
    And the adapter's update has z1 evacuated

  Scenario: an evacuation and its end within one watch are both told
    Given a stand-in store with 3 servers on pages of 50
    When the operator evacuates z1
    And the operator returns z1
    Then the adapter's watch tells of z1 evacuated, then returned

  Scenario Outline: a malformed evacuation is logged and counted, others are in effect
    Given a stand-in store with 3 servers on pages of 50
    When the operator evacuates <zone>
    And the operator evacuates z1
    And the adapter loads the store
    Then the adapter's update has z1 evacuated
    And one unusable entry is logged
    And a node's log can hold it

    Examples:
      | zone                    |
      | nothing                 |
      | z1/z2                   |
      | half a surrogate pair   |

  Scenario: the end of a malformed evacuation is not logged as unusable
    Guards against an alarm for the operator's correction.
    Given a stand-in store with 3 servers on pages of 50
    When the operator evacuates z1/z2
    And the operator returns z1/z2
    Then the adapter's watch tells of one unusable entry

  Scenario: a full read of the store holds one page at a time
    Guards against a host that exceeds its memory because of what others wrote.
    Given pages of the store with 100 odd entries of 1048576 bytes in all
    When the adapter loads the pages
    Then the load took at most 16 MiB of memory
    And it has 0 servers and the configuration

  Scenario: any number of unusable entries takes a bounded memory
    Guards against a memory of what was logged that grows with others' entries.
    Given pages of the store with 100000 odd entries of 9 bytes in all
    When the adapter loads the pages
    Then the load took at most 16 MiB of memory
    And all 100000 unusable entries are counted

  Scenario Outline: entries of the maximum size with <content> take a bounded memory
    Guards against a host that exceeds its memory because of how a value looks: names are
    kept and sent to all hosts, and JSON takes many times its size once decoded.
    Given pages of the store with 30 entries of 1048576 bytes that have <content>
    When the adapter loads the pages
    Then the load took at most 16 MiB of memory
    And it has 0 servers and the configuration

    Examples:
      | content                  |
      | a long service name      |
      | a long zone name         |
      | objects without fields   |
      | a list as service        |
      | spaces around a server   |

  Scenario: a watch with more changes than a host may hold fails as oversized
    Guards against a pause before the full read that tells the changes, as after an
    answer that was lost.
    Given a stand-in store with 3 servers on pages of 2
    When 5 odd entries of 1048576 bytes are written
    Then the adapter's watch fails as oversized
    And the adapter's load has 3 servers
    And the adapter's watch of the configuration tells only version 9 once it is written

  Scenario Outline: an answer of the maximum size that <fault> takes a bounded memory
    Guards against error texts that repeat the whole answer.
    Given an answer of the store with 5900000 bytes that <fault>
    When the adapter reads it and logs the failure
    Then the read failed as <reason>
    And the load took at most 40 MiB of memory

    Examples:
      | fault                     | reason  |
      | is no text                | garbled |
      | has a text as revision    | garbled |
      | has a list as key         | garbled |
      | is no list of items       | garbled |
      | has headers without end   | lost    |
