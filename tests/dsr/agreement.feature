Feature: hosts that read one store hold the same entries

  Scenario Outline: hosts agree 3 s after <steps> steps in which reads and messages overtake each other
    Guards against hosts that keep different servers, evacuations or versions for good, as
    a server or an evacuation came and went while a read was on its way, messages were
    lost, or pages of one read differed in age.
    When <fleets> random fleets take <steps> steps each
    Then 3 s later all hosts hold what the store holds

    Examples:
      | fleets | steps |
      | 150    | 10    |
      | 250    | 40    |
      | 50     | 80    |

  Scenario Outline: late news does not undo what a full read told: <news>
    Guards against a server that is used, or a zone that is not, for ever: it came and
    went while a watch was on its way, and a full read of another host overtook it.
    Given a host at revision 20
    When it gets the changes of a full read from 20 to 26
    And it gets the changes of a watch from 20 to 24 with <news>
    Then it holds no server 2
    And no zone is evacuated there

    Examples:
      | news                  |
      | a listing of server 2 |
      | an evacuation of z1   |

  Scenario Outline: a catalog that differs is corrected: <other> at <host>
    Guards against any further cause of hosts that differ for good.
    Given a random fleet whose hosts agree
    When the catalog of <host> gets <other>
    Then 3 s later all hosts hold what the store holds

    Examples:
      | host       | other                    |
      | the reader | a server that has left   |
      | the reader | one server less          |
      | the reader | an older draining entry  |
      | the reader | an ended evacuation      |
      | a follower | a server that has left   |
      | a follower | one server less          |
      | a follower | an older draining entry  |
      | a follower | an ended evacuation      |
      | a follower | an older version         |

  Scenario: hosts that differ for good read the store less and less often
    Guards against a store that is flooded while hosts of two builds decode an entry
    differently. A full read of 15,000 servers takes 30 calls, and a small store answers
    2,000 calls a second.
    Given 2000 hosts that differ from the reader at each of its updates for 120 s
    Then they make at most 66 full reads a second in any 10 s

  Scenario: hosts that agree again do not read the store
    Given a read scheduler whose host differs from a peer
    When the host agrees with a peer before its read is due
    Then no full read is due
