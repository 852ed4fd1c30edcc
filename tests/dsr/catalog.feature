Feature: routes and servers in force on one host

  Scenario: updates in any order give the same catalog
    Guards against hosts whose catalogs differ permanently after a partition.
    Then 300 random histories give the same catalog in any order and with repeated updates

  Scenario: the configuration version never decreases
    Given a catalog with version 7
    When a full copy with version 5 is applied
    Then the catalog has version 7

  Scenario: a stale copy does not bring a removed server back
    Given a catalog from which server 1 was removed at revision 9
    When a full copy of revision 6 that lists server 1 of revision 4 is applied
    Then server 1 is not listed

  Scenario: a server that restarts under the same identifier is listed again
    Given a catalog from which server 1 was removed at revision 9
    When an update lists server 1 of revision 11
    Then server 1 is listed

  Scenario Outline: a server that a peer lists at <ip> port <port> is not used
    Guards against packets that no host can send, when a peer of an older build passes
    on such an entry.
    Given a catalog with version 7
    When a peer's update of revision 9 lists server 1 at <ip> port <port>
    Then server 1 is not listed

    Examples:
      | ip              | port  |
      | 10.1.0.1        | 0     |
      | 10.1.0.1        | 70000 |
      | 10.1.0.1        | -1    |
      | 255.255.255.255 | 8000  |

  Scenario: an update on an unknown base revision is rejected
    Given a catalog with version 7
    Then an update on revision 40 can't be applied

  Scenario: removals of unknown servers expire
    Guards against memory use that grows with every server that ever left.
    Given a catalog to which 500 removals of unknown servers come within 1000 s
    Then it remembers at most 50 of them

  Scenario: any number of removals takes a bounded memory
    Guards against other writers' unusable entries, each of which counts as a removal.
    Given a catalog with version 5
    When 100000 servers that were never listed are removed
    Then the catalog remembers 30000 removals, the latest among them

  Scenario: an answer that raises an unexpected error does not end the reader
    Guards against one answer of the store that ends every node which reads it.
    When a reader gets an answer that raises an unexpected error
    Then it logs the error and reads again after a back-off

  Scenario: an unexpected error in a reader's first read does not end the reader
    Guards against one answer of the store that ends every node which starts.
    When a reader's first read raises an unexpected error
    Then the reader loads the catalog with the next answer

  Scenario: peers learn that a server left that the reader never listed
    Guards against a server that is used for ever because it came and went between two
    answers to the reader, while another host had read its entry.
    Given a reader that gets a server's listing and removal in one watch
    Then its update removes the server from a peer that listed it

  Scenario: a full read tells peers nothing of entries that were never usable
    Guards against messages to the peers that hold every odd entry after each full read.
    Given a reader that makes a full read with 200 unusable entries
    Then its update has no removals

  Scenario: a full read does not hide that a server left
    Given a reader that makes a full read after a server came and went
    Then a peer that listed the server needs a full copy
    And a peer at the reader's former revision applies the update
    And a peer that has read as much ignores the update

  Scenario: an update that comes late lists no server that left before a full copy
    Guards against a server that is used for ever because its listing was overtaken by
    a full copy without it.
    Given a catalog with version 7
    When a full copy of revision 9 that lists server 1 of revision 4 is applied
    And an update lists server 2 of revision 5
    Then server 2 is not listed

  Scenario Outline: <read> brings back what the copy of a peer lacked
    Guards against a server, or an evacuation, that a host never learns of: a watch had
    omitted it, the reader's copy for a host that started lacked it, and that copy's
    revision made the host ignore all later news of it.
    Given a host that got a copy of revision 20 from a peer without server 2 and <before>
    When <read> tells it of server 2 of revision 15 and of zone z1 evacuated at 16
    Then the host lists server 2
    And zone z1 is evacuated

    Examples:
      | read                            | before                    |
      | a full read of the store at 20  | without zones             |
      | a full read of the store at 25  | without zones             |
      | a full read of the store at 25  | with a returned zone      |
      | the update of a full read at 25 | without zones             |
      | a full read of the store at 25  | after server 2 was listed |

  Scenario Outline: <news> does not bring back what a copy of a peer lacked
    Guards against a server that is used for ever because its listing was overtaken.
    Given a host that got a copy of revision 20 from a peer without server 2 and without zones
    When <news> tells it of server 2 of revision 15 and of zone z1 evacuated at 16
    Then server 2 is not listed
    And zone z1 is not evacuated

    Examples:
      | news                           |
      | a peer's copy at 20            |
      | a peer's changes at 25         |

  Scenario: hosts that are current agree with a store that is restored
    Then the model of store epochs holds with all mechanisms

  Scenario Outline: each mechanism against a restored store is needed
    Guards against a model that holds even without a mechanism.
    Then the model of store epochs fails without <mechanism>

    Examples:
      | mechanism    |
      | epochs       |
      | exact_base   |
      | all_removals |
