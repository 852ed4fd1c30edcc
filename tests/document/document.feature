Feature: configuration documents

  Background:
    Given the example document
    And the example host list

  Scenario Outline: each kind of fault is reported with its line
    Guards against a document that is accepted with an unintended meaning.
    When the document has "<old>" replaced by "<new>"
    Then the document has a fault "<kind>" on line <line>

    Examples:
      | old                 | new                           | kind           | line |
      | version: 12         | version: 012                  | value          | 1    |
      | version: 12         | # no version                  | missing_key    | 2    |
      | version: 12         | - version                     | syntax         | 2    |
      | services:           | services: {}                  | syntax         | 3    |
      | requests}           | requests, codec: coap}        | rule           | 5    |
      | kind: flows         | kind: flow                    | value          | 6    |
      | kind: flows         | kind: flows, kind: requests   | duplicate_key  | 6    |
      | kind: flows         | kind: !flow flows             | reference      | 6    |
      | codec: coap         | codek: coap                   | unknown_key    | 6    |
      | codec: coap         | codec: "\xff"                 | encoding       | 6    |
      | codec: coap         | codec: [[[[[[[[[[[[[[[[[      | syntax         | 6    |
      | deadline: 2s        | deadline: 2h                  | value          | 8    |
      | deadline: 2s        | deadline: 0s                  | rule           | 8    |
      | idempotent: false   | idempotent: maybe             | value          | 8    |
      | path: /photos       | path: /bookings               | rule           | 9    |
      | weight: 1           | weight: 0                     | value          | 11   |
      | weight: 1           | weight: true                  | value          | 11   |
      | weight: 1           | weight: .nan                  | value          | 11   |
      | reservas-2:         | Reservas_2:                   | name           | 12   |
      | devoluciones:       | reservas:                     | duplicate_key  | 13   |
      | devoluciones-map:   | reservas-map:                 | duplicate_name | 15   |
      | devoluciones-1: {}  | d: &a {}\n      e: *a       | reference      | 17   |
      | devoluciones-1: {}  | devoluciones-1: {\n           | syntax         | 17   |
      | devoluciones-1: {}  | devoluciones-1: {}\nextra: 1  | layout         | 18   |
      | devoluciones-1: {}  | reservas-1: {}                | duplicate_name | 17   |

  Scenario: all faults are reported at once, ordered by line
    Guards against having to publish once for each fault.
    When the document has "kind: flows" replaced by "kind: flow, colour: 1"
    And the document has "version: 12" replaced by "version: 0"
    Then the document has faults on lines 1, 6, 6

  Scenario: a service above the size limit of a platform value is a fault
    When the document has a comment of 1000001 bytes in its last line
    Then the document has a fault "size" on line 13

  Scenario: nesting that would overflow the stack of the process is a fault
    Guards against a document that crashes every entry host.
    When the document ends in 200000 opening brackets
    Then the document has a fault "syntax" on line 18

  Scenario: splitting and joining preserves arbitrary bytes
    Guards against copying to production anything but the exact bytes of the
    document that was tested.
    Then document segments of arbitrary bytes join to the same bytes

  Scenario: a changed service changes one segment
    Guards against transfer and parsing costs that grow with the document.
    Given a document with 60 services
    Then changing any one document service changes and parses one segment

  Scenario: a manifest whose segments were altered does not join
    Given a document with 60 services
    When one document segment is altered in transfer
    Then joining the document fails with "digest"

  Scenario Outline: faults in the host list
    When the host list has "<old>" replaced by "<new>"
    Then the host list has a fault "<kind>" on line <line>

    Examples:
      | old             | new             | kind          | line |
      | "revision": 7   | "revision": -7  | value         | 1    |
      | "revision": 7   | "revision": 7,, | syntax        | 1    |
      | "state": "live" | "state": "up"   | value         | 2    |
      | reservas-2      | reservas-1      | duplicate_key | 4    |
      | 127.0.0.2       | 127.0.0.256     | value         | 3    |
      | 127.0.0.2       | 0.0.0.0         | value         | 3    |
      | 127.0.0.2       | 224.0.0.1       | value         | 3    |
      | 127.0.0.2       | 255.255.255.255 | value         | 3    |
      | 7102            | 0               | value         | 4    |
      | 7102            | 71020           | value         | 4    |
      | 7202            | 7201            | rule          | 6    |
      | "ip": "127.0.0.1", "port": 7201 | "ip": "127.0.0.1" | missing_key | 5 |

  Scenario: the view uses the host list and falls back to the last known endpoints
    Guards against losing a server that a stale host list lacks, and against
    packets to an endpoint that now belongs to another server.
    When a document view is built
    Then document target reservas-1 is "active" and reservas-2 is "draining"
    When the host list has ""reservas-2": {"ip": "127.0.0.2", "port": 7102" replaced by ""new": {"ip": "127.0.0.2", "port": 7109"
    And a document view is built
    Then document target reservas-2 is at port 7102
    When the host list has "7109" replaced by "7102"
    And a document view is built
    Then document target reservas-2 is gone

  Scenario: hosts converge on one document in any order of arrival
    Guards against a return to an older version, and against hosts that disagree
    after two documents were published at once.
    Then document versions in any order end with the greatest

  Scenario: an address that changes service is held for 5 s
    Guards against a packet meant for the old service reaching the new one.
    Given an address hold-down whose address belongs to "reservas"
    When the address moves to "devoluciones" at second 10
    Then the address is held at second 10 and 14.9 and free at second 15

  Scenario: a host that has just started holds all its addresses
    Guards against a new host that serves an address which other hosts still hold.
    Given an address hold-down that starts at second 10 and whose address belongs to "reservas"
    Then the address is held at second 10 and 14.9 and free at second 15

  Scenario: an intermediate version without the address shortens the hold
    The hold is counted from the removal of the address.
    Given an address hold-down whose address belongs to "reservas"
    When the address is removed at second 8
    And the address moves to "devoluciones" at second 10
    Then the address is held at second 10 and 12.9 and free at second 13

  Scenario: a pause extends the hold and holds every address until the version is confirmed
    Guards against serving packets that waited in the socket during the pause.
    Given an address hold-down whose address belongs to "reservas"
    When the address moves to "devoluciones" at second 10
    And the host of the held address was paused for 20 s
    Then the address is held at second 31 and still at second 60
    When the host of the held address has confirmed its version
    Then the address is held at second 31 and 34.9 and free at second 35

  Scenario: no packet reaches the other service in any run of the model
    Then the address move model holds with all mechanisms

  Scenario Outline: the model fails without any one of the mechanisms
    Guards against a model that passes without the mechanism that it should check.
    Then the address move model fails without <mechanism>

    Examples:
      | mechanism         |
      | hold_down         |
      | hold_at_start     |
      | version_check     |
      | identity_check    |
      | running_time_only |

  Scenario Outline: a risky or inconsistent change gives a warning
    When the document has "<old>" replaced by "<new>"
    Then the document diff warns of "<kind>"

    Examples:
      | old                       | new                        | kind                     |
      | idempotent: false         | idempotent: true           | version_not_raised       |
      | devoluciones-map:         | devoluciones-2:            | address_removed          |
      | codec: coap               | codec: opaque              | address_changed          |
      | reservas-1:               | reservas-3:                | removed_without_draining |
      | devoluciones-1: {}        | d-1: {state: draining}     | no_active_target         |

  Scenario: an address that moves without an intermediate version gives a warning
    When the document has "reservas-map:" replaced by "swapped:"
    And the document has "devoluciones-map:" replaced by "reservas-map:"
    Then the document diff warns of "address_moved"

  Scenario: the estimated share of moved keys agrees with weighted rendezvous hashing
    Guards against an estimate that misleads operators about a weight change.
    Then the estimated share of keys that move to another target is within 0.01 of that of 20000 simulated keys
