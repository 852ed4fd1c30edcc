Feature: full reads of the store whose pages differ in age

  Pages are no snapshot, and stale ones may come from copies of any age. A host then
  holds entries that are newer than its revision.

  Scenario Outline: what a reader had read ahead reaches its peers: <change>, <read>
    Guards against hosts that keep an older state until the next change, as the reader
    told its peers only what was news to itself.
    Given a reader with pages of revisions 20 and 21, of which only the newer one shows <change>
    And a peer with all entries of revision 20
    When the reader makes <read>
    Then the peer holds the same entries as the store

    Examples:
      | change                 | read        |
      | a new configuration    | a watch     |
      | a new server           | a watch     |
      | a draining server      | a watch     |
      | a server that has left | a watch     |
      | an evacuated zone      | a watch     |
      | a returned zone        | a watch     |
      | a new configuration    | a full read |
      | a new server           | a full read |
      | a draining server      | a full read |
      | a server that has left | a full read |
      | an evacuated zone      | a full read |
      | a returned zone        | a full read |

  Scenario Outline: a peer with pages of two ages follows <read> of the reader
    Guards against a server that is used for ever because it came and went between the
    ages of the pages.
    Given a reader with all entries of revision 20
    And a peer with pages of revisions 20 and 21, of which only the newer one shows <change>
    When that is taken back and the reader makes <read>
    Then the peer holds the same entries as the store

    Examples:
      | change                 | read        |
      | a new server           | a watch     |
      | a draining server      | a watch     |
      | an evacuated zone      | a watch     |
      | a new server           | a full read |
      | a draining server      | a full read |
      | an evacuated zone      | a full read |
