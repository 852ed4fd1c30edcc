Feature: the store is restored from an older copy

  The restored store has lost its last changes and gives out their revisions again.

  Scenario: a change that reuses a revision of the lost history is in force in time
    Guards against a watch that starts after the change.
    Then a version published at any of 8 moments after the return is in force within 3 s

  Scenario: the store gets few calls after its return
    Given a fleet of 7 hosts whose store returns at 10 s from a copy 2 changes old
    Then the store gets at most 3 calls a second from 11 s on

  Scenario: a host that was cut off meanwhile learns that a server drains
    Guards against entries compared by revisions of two histories.
    Given a fleet of 7 hosts of which host 4 is cut off as the store is restored
    And a server that drains then
    Then every host considers it as draining 3 s after the cut

  Scenario: hosts agree with a store that was restored twice
    Then after 20 random series of changes, restores and lost hosts all hosts agree with the store

  Scenario Outline: a server known to leave gets no new flows by an outdated entry
    Guards against new flows to a server whose last change the store has lost.
    Given a catalog at revision 20 that knows server 1 as <state>
    When the store returns with a copy of revision 12 that lists servers 1 and 2
    Then server 1 gets no new flows
    And server 2 gets new flows
    When server 1 registers again at revision 13
    Then server 1 gets new flows

    Examples:
      | state             |
      | draining          |
      | drained and gone  |
      | dead and gone     |

  Scenario: a server whose entry had only lapsed is used at once
    Given a catalog at revision 20 that knows server 1 as lapsed
    When the store returns with a copy of revision 12 that lists servers 1 and 2
    Then server 1 gets new flows

  Scenario: an entry that outlives the time for lapsing is used
    Given a catalog at revision 20 that knows server 1 as draining
    When the store returns with a copy of revision 12 that lists servers 1 and 2
    And the store is read for 4.5 s
    Then server 1 gets no new flows
    When the store is read for 0.2 s
    Then server 1 gets new flows

  Scenario: a server that registered after the copy is used until its time is over
    Guards against a release whose new servers are all missing from the copy.
    Given a catalog at revision 20 that knows server 1 as ready
    When the store returns with a copy of revision 12 that lists server 2 only
    Then server 1 gets new flows
    When the store is away for 10 s
    Then server 1 gets new flows
    When the store is read for 3 s
    Then server 1 is gone

  Scenario: a server that registers again in time is kept
    Given a catalog at revision 20 that knows server 1 as ready
    When the store returns with a copy of revision 12 that lists server 2 only
    And server 1 registers again at revision 13
    And the store is read for 10 s
    Then server 1 gets new flows

  Scenario: knowledge of a leaving server outlasts a second restore
    Given a catalog at revision 20 that knows server 1 as draining
    When the store returns with a copy of revision 12 that lists server 2 only
    And the store returns with a copy of revision 11 that lists servers 1 and 2
    Then server 1 gets no new flows

  Scenario: updates of a former history change nothing but the configuration
    Given a catalog at revision 20 that knows server 1 as ready
    When the store returns with a copy of revision 12 that lists servers 1 and 2
    And an update of the former history arrives with version 9 and server 2 draining
    Then server 2 gets new flows
    And version 9 is in force

  Scenario: an older configuration in the copy is not put in force
    Given a catalog at revision 20 that knows server 1 as ready
    When the store returns with a copy of revision 12 that lists servers 1 and 2
    Then version 5 is in force

  Scenario Outline: changes between histories apply only to their base
    Given a catalog at revision 20 that knows server 1 as ready
    When changes from revision <base> of its history to revision 12 of the next arrive
    Then they <outcome>

    Examples:
      | base | outcome                |
      | 20   | are applied            |
      | 19   | need a full copy       |
      | 21   | need a full copy       |

  Scenario: a message from an older build belongs to the present history
    Given a catalog at revision 20 that knows server 1 as ready
    Then a peer's message without an epoch is decoded with the catalog's epoch

  Scenario: withheld servers reach peers
    Given a catalog at revision 20 that knows server 1 as draining
    When the store returns with a copy of revision 12 that lists servers 1 and 2
    Then a host without a catalog withholds server 1 after a full copy

  Scenario: a watch answered in another history leads to a full read
    Guards against changes of the new history that are applied to the old one.
    Given a reader at revision 20
    When its watch is answered in the next history at revision 25
    Then the reader's catalog is unchanged
    And the next read of the store is a full one

  Scenario: a store that goes back without a new epoch is read from its start
    Given a reader at revision 20
    When a full read is answered with revision 12 of the same history
    Then the reader's catalog is at revision 12
    And the next watch starts there

  Scenario: a message with an epoch that the store never had does no lasting harm
    Guards against a fleet that ignores its store for ever after one corrupt message.
    Given a reader at revision 20
    When a peer's update of epoch 99 is applied
    And its watch is answered in the first history at revision 21
    And a full read is answered with revision 21 of the first history
    Then the reader's catalog is at revision 21
    And the next watch starts there

  Scenario: a restarted host learns from its peers what the store has lost
    Guards against a withdrawn route or a drained server in use again after a restart.
    Given a fleet of 7 hosts whose store returns at 10 s without a version and a drain
    And host 3 is restarted then
    Then host 3 knows the lost version and gives the server no new flows within 1 s
