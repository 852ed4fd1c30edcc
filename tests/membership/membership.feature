Feature: membership of a region

  Scenario: hosts that start at the same time join each other
    Guards against joins that are lost when no host knows any other yet.
    Given a membership fleet of 20 hosts that starts
    Then within 10 s each member knows 20 usable members

  Scenario: a killed host is removed everywhere
    Given a settled membership fleet of 20 hosts
    When membership host 4 is killed
    Then within 9 s no member regards host 4 as usable

  Scenario: all members notice the loss of a third of the hosts within 7 s
    Guards against members that miss the gossip and wait for their own probes.
    Given a settled membership fleet of 60 hosts
    When membership hosts 10 to 29 are killed
    Then within 7 s no member regards hosts 10 to 29 as usable
    And no membership host sent more than 26000 bytes per second in that time

  Scenario: no false death when a rack fails and a tenth of the datagrams is lost
    Guards against faster probes and confirmations that make hosts declare
    reachable members dead.
    Given a settled membership fleet of 60 hosts
    When membership hosts 10 to 17 are killed
    And a tenth of the membership datagrams is lost for 30 s
    Then only membership hosts 10 to 17 were declared dead

  Scenario: hosts that are cut off together do not declare all others dead at once
    Guards against suspicions that the few hosts of a disconnected rack confirm.
    Given a settled membership fleet of 20 hosts
    When membership hosts 4 to 6 are cut off from all others
    Then for 4 s member 5 regards at least 14 others as usable
    When all membership links work again
    Then within 20 s each member knows 20 usable members

  Scenario: members have time to refute death claims that several hosts confirm
    Guards against a host that declares members dead because others claim it.
    Given a settled membership fleet of 7 hosts
    When membership host 4 receives death claims about all others that three hosts confirm
    Then for 10 s member 4 regards at least 6 others as usable
    And within 1 s each member knows 7 usable members

  Scenario: a leaving host is known as leaving within a second
    Guards against new requests to a host that is shutting down.
    Given a settled membership fleet of 20 hosts
    When membership host 4 is told to stop
    Then within 1 s no member regards host 4 as usable

  Scenario: a resumed host does not declare others dead because of its own pause
    Guards against a resumed host that declares all others dead.
    Given a settled membership fleet of 7 hosts
    When membership host 4 suspects all others and is paused for 8 s
    Then for 20 s member 4 regards at least 6 others as usable
    And within 1 s each member knows 7 usable members

  Scenario: a pause with a frozen clock is detected from a peer's suspicion
    Guards against pauses in which the monotonic clock stands still.
    Given a settled membership fleet of 7 hosts
    When a peer tells membership host 4 that it suspects it
    Then a membership pause is announced

  Scenario: an isolated host does not declare its peers dead at once
    Guards against a host that takes its own network fault for the death of its peers.
    Given a settled membership fleet of 7 hosts
    When membership host 4 is cut off from all others
    Then for 10 s member 4 regards at least 4 others as usable
    When all membership links work again
    Then within 10 s each member knows 7 usable members

  Scenario: the two sides of a long partition find each other again
    Guards against dead members that no host contacts again.
    Given a settled membership fleet of 20 hosts
    When membership zone zone-1 is cut off for 60 s
    Then at the end of the cut no membership host was usable across the border of zone-1
    And within 20 s each member knows 20 usable members

  Scenario: after a partition ends, a host sends at most 26,000 bytes per second
    Guards against full tables that all hosts request whenever a member returns.
    Given a settled membership fleet of 40 hosts
    When membership zone zone-1 is cut off for 60 s
    Then within 10 s each member knows 40 usable members
    And no membership host sent more than 26000 bytes per second in that time

  Scenario: a version change on all members causes little traffic
    Guards against a record of 100 bytes per member and change.
    Given a settled membership fleet of 60 hosts
    When all membership hosts put version 2 in force
    Then within 5 s 98 % of the membership records carry version 2
    And no membership host sent more than 5000 bytes per second in that time

  Scenario: the version of a process is not attributed to its successor
    Then a membership version report of an older incarnation is ignored

  Scenario: confirmed suspicions expire earlier
    Guards against a dead host that others use for the full suspicion timeout.
    Given a settled membership fleet of 60 hosts
    When membership host 4 is killed
    Then within 5 s no member regards host 4 as usable

  Scenario: a new incarnation replaces the older one
    Given a settled membership fleet of 7 hosts
    When membership host 4 is replaced
    Then within 5 s each member knows the new incarnation of host 4
    And the old incarnation of membership host 4 is told that it is superseded

  Scenario: death claims of one host remove no member
    Guards against a faulty host whose claims make others declare members dead.
    Given a settled membership fleet of 7 hosts
    When membership host 4 receives claims that all members are dead
    Then for 10 s member 4 regards at least 6 others as usable

  Scenario: a member refutes again when the accuser missed the first refutation
    Guards against a death declared although the suspicion was refuted.
    Given a settled membership fleet of 40 hosts
    And a membership accuser that missed the refutations of 12 members
    Then within 10 s no membership death is declared

  Scenario: a member is probed through peers when the direct link is cut
    Guards against suspicions caused by a single broken link.
    Given a settled membership fleet of 7 hosts
    When the membership link between hosts 4 and 5 is cut for 30 s
    Then at most 0 membership suspicions were raised

  Scenario: few false deaths when a tenth of the datagrams is lost
    Given a settled membership fleet of 20 hosts
    When a tenth of the membership datagrams is lost for 60 s
    Then at most 5 membership deaths were declared

  Scenario: datagrams stay under the limit of 1,200 bytes
    Given a settled membership fleet of 40 hosts
    When membership hosts 0 to 19 are replaced at once
    Then within 20 s each member knows 40 usable members
    And no membership datagram exceeded 1200 bytes

  Scenario: the merge of claims does not depend on their order
    Then any three membership claims merge to the same record in any order

  Scenario: malformed member records are ignored
    Then membership records with missing or wrong fields are rejected

  Scenario: each zone elects two readers and replaces a dead reader
    Given 12 membership hosts in 3 zones
    Then each membership zone elects two readers in any order of the hosts
    And the loss of a membership reader elects one more host and keeps the other

  Scenario: the model of a paused member holds
    Then the paused member model holds in all states
    And without the restart of suspicions it has a counterexample

  Scenario: the bytes between zones at a common start do not grow with the hosts of a zone
    Guards against traffic between zones, which costs money, when hundreds of hosts
    start together.
    Then 120 hosts in 4 zones that start send at most 2 times the bytes of 40 between zones, each host
    And within 20 s of that start each member knows all others

  Scenario Outline: the share of gossip between zones follows the size of the zone
    Then in a zone of <hosts> hosts of <total> the gossip share is <share>

    Examples:
      | hosts | total | share |
      | 2     | 7     | 0.83  |
      | 39    | 195   | 0.09  |
      | 110   | 2000  | 0.02  |
      | 7     | 7     | 0     |
