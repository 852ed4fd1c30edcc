Feature: hosts are current again soon after a disturbance

  A host whose disturbance has ended must be current within the contact time, 4 s, whatever
  happens to others.

  Scenario Outline: <lost> while the store answers the rest with <kind>
    Guards against a pause after failed reads that outlasts the contact time: a host counts
    on elected readers that are dead or cut off from the store themselves.
    Given disturbances of a fleet of <hosts> hosts in <zones> zones
    When <lost> and the rest is kept from the store by <kind> for various times
    Then each host of the rest has the newest version 4 s after it

    Examples:
      | hosts | zones | lost                                        | kind        |
      | 3     | 1     | the elected readers are killed              | 503         |
      | 3     | 1     | the elected readers are killed              | 429         |
      | 3     | 1     | the elected readers are killed              | reset       |
      | 3     | 1     | the elected readers are killed              | silence     |
      | 3     | 1     | the elected readers are killed              | unreachable |
      | 3     | 1     | the elected readers are cut off from all    | 503         |
      | 3     | 1     | the elected readers are cut off from the store | 503      |
      | 3     | 1     | nobody is lost                              | 503         |
      | 10    | 3     | the elected readers are killed              | 503         |
      | 10    | 3     | the elected readers are cut off from the store | silence  |
      | 10    | 3     | all hosts but one are killed                | 503         |

  Scenario Outline: the pause after failed reads depends on the contact time
    Given the read scheduler of the host at position <position> with a contact time of <contact> s
    When 8 reads fail in a row
    Then the next read is due in <least> s to <most> s

    Examples:
      | position | contact | least | most |
      | 30       | 4       | 1.6   | 2.4  |
      | 30       | 6       | 2.5   | 3.6  |
      | 0        | 4       | 0.7   | 1.0  |
      | 0        | 1       | 0.4   | 0.6  |
      | 30       | 0.01    | 0.2   | 0.3  |

  Scenario Outline: a store that answers nobody for <seconds> s gets few calls
    Guards against calls that grow as hosts recover sooner: before, 2,000 hosts made
    7,996 calls in 4.5 s and 10,168 in 9 s, and 10 hosts made 46 and 80.
    Given the read schedulers of <hosts> hosts, of which <elected> are elected readers
    When the store answers each read with a failure for <seconds> s
    Then it got at most <calls> calls

    Examples:
      | hosts | elected | seconds | calls |
      | 10    | 6       | 4.5     | 46    |
      | 10    | 6       | 9       | 80    |
      | 2000  | 36      | 4.5     | 7996  |
      | 2000  | 36      | 9       | 10168 |
