Feature: changes while a full read of the store takes long

  Other writers decide how many pages a full read has. A change must be in force on every
  host within 3 s all the same, and the reader's updates keep other hosts from reading.

  Scenario: changes are in force while a full read goes on
    Guards against a reader that learns of no change before the last page.
    Given a reader of a store with 40 pages of 0.25 s each
    When a version is written 2 s after a full read began
    Then the version is in force after at most 3 s
    And peers got an update at least every 1.5 s
    And the full read was completed

  Scenario: a server that leaves during a full read stays removed
    Guards against an earlier page of the read that lists it.
    Given a reader of a store with 40 pages of 0.25 s each
    When a server leaves 2 s after a full read began
    Then the server is not listed after the full read

  Scenario: a full read goes on if the changes can't be told
    Given a reader of a store with 10 pages of 0.25 s each
    And a store whose history is gone
    When a version is written 2 s after a full read began
    Then the full read was completed
    And the store got 1 watch of everything

  Scenario: a version is in force while there are too many changes for a watch
    Guards against writers of large entries that keep the configuration from a host.
    Given a reader of a store with 40 pages of 0.25 s each
    And a store with too many changes for a watch
    When a version is written 2 s after a full read began
    Then the version is in force after at most 3 s
    And no update tells that the servers are known as of the version's revision

  Scenario: full reads after a failure ask for the changes of the configuration alone
    Guards against answers with all changes of a long time, which cost the store more than
    the full read and keep it from recovering as hosts ask again.
    Given a reader of a store with 40 pages of 0.25 s each
    When 5 full reads fail after 2 s each
    Then the store got 0 watches of everything
    And it got watches of the configuration

  Scenario: a read that peers have made needless ends
    Guards against a start that goes on to read what peers have sent.
    Given a host that starts with a store of 40 pages of 0.25 s each
    When a peer sends the catalog 1 s after the start
    Then the host's first read ended after at most 1.5 s

  Scenario Outline: full reads take at most a tenth of a reader's time
    Given the read scheduler of a reader
    When a full read takes <seconds> s
    Then the next full read is due <interval> s later

    Examples:
      | seconds | interval |
      | 0.1     | 10       |
      | 7       | 70       |

  Scenario: a start does not wait for a read that takes long
    Guards against a start that forwards no packets until all pages are read.
    Given a store with 200 pages that answers in 0.05 s
    When a node reads it at its start
    Then the read is given up after 2 s to 3 s
