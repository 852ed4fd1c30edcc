Feature: evacuations of zones

  An evacuated zone's servers get no new flows; open flows go on.

  Scenario: servers of an evacuated zone get no new flows until it returns
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    Then of the evacuation host's zones z2 gets new flows
    When the store returns zone z1 at revision 12
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: open flows of an evacuated zone go on
    Given an evacuation host with servers in zones z1
    When a flow is open and the store evacuates zone z1 at revision 11
    Then data of the open flow goes to its server

  Scenario: an opening is refused at once if all zones of the service are evacuated
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store evacuates zone z2 at revision 12
    Then copy 0 of an opening packet is refused with the reason zone_evacuated

  Scenario: an old catalog refuses nothing because of an evacuation
    Given an evacuation host with servers in zones z1
    When the store evacuates zone z1 at revision 11
    And 2.1 s pass on the evacuation host
    Then copy 0 of an opening packet is dropped

  Scenario: a later copy of an opening packet that went to a server is dropped
    Guards against the refusal of a flow that a server may have.
    Given an evacuation host with servers in zones z1
    When copy 0 of an opening packet is sent to a server
    And the store evacuates zone z1 at revision 11
    And 0.2 s pass on the evacuation host
    Then copy 1 of an opening packet is dropped

  Scenario: a later copy that reaches another host is dropped
    Guards against the refusal of a flow that a server has from another host, or from
    this one before its restart.
    Given an evacuation host with servers in zones z1
    When the store evacuates zone z1 at revision 11
    Then copy 1 of an opening packet is dropped

  Scenario: a duplicate of an opening packet does not reach an evacuated zone
    Guards against openings that arrive together with news of an evacuation at its bound.
    Given an evacuation host with servers in zones z1,z2
    When copy 0 of an opening packet is sent to a server
    And the store evacuates zone z1 at revision 11
    Then copy 0 of an opening packet is dropped

  Scenario: a full copy without the zone ends an evacuation
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And a full copy of revision 12 lists no evacuation
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: a full copy older than the evacuation does not end it
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And a full copy of revision 10 lists no evacuation
    Then of the evacuation host's zones z2 gets new flows

  Scenario: an evacuation that comes after its end has no effect
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store returns zone z1 at revision 12
    And a late change of revision 11 evacuates zone z1
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: an evacuation that comes after a full copy without it has no effect
    Guards against a zone that is out of use for ever by an update that was overtaken.
    Given an evacuation host with servers in zones z1,z2
    When a full copy of revision 13 lists no evacuation
    And a late change of revision 11 evacuates zone z1
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: an evacuation that comes after a restored store's copy has no effect
    Guards against a zone that was evacuated once and is out of use for ever by an
    update of the new history that was overtaken.
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store returns zone z1 at revision 12
    And the store is restored to revision 10 and lists no evacuation
    And a late change of revision 9 evacuates zone z1
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: an evacuation that comes after the changes to a new history has no effect
    Guards against a zone that is out of use for ever on hosts that learn of the restore
    from a peer.
    Given an evacuation host with servers in zones z1,z2
    When changes from revision 10 to revision 9 of the next history come
    And a late change of revision 8 evacuates zone z1
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: an evacuation that a restored store has lost ends after 30 s
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store is restored to revision 10 and lists no evacuation
    Then the evacuation host tells that z1 is lost and ends in 30 s
    When 29.9 s pass on the evacuation host
    Then of the evacuation host's zones z2 gets new flows
    When 0.2 s pass on the evacuation host
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: an evacuation that is written again after its loss stays in force
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store is restored to revision 10 and lists no evacuation
    And the store evacuates zone z1 at revision 11
    And 31 s pass on the evacuation host
    Then of the evacuation host's zones z2 gets new flows

  Scenario: a removal ends an evacuation that a restored store has lost
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store is restored to revision 10 and lists no evacuation
    And the store evacuates zone z1 at revision 11
    And the store returns zone z1 at revision 12
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: an ended evacuation that a restored store brings back is in force
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store returns zone z1 at revision 12
    And the store is restored to revision 11 and lists z1 at revision 11
    And 31 s pass on the evacuation host
    Then of the evacuation host's zones z2 gets new flows

  Scenario: a lost evacuation ends with the time that a peer reports
    Guards against 30 s that start anew on each host that hears of a restore late.
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And a peer's copy of the next history lists z1 as lost with 5 s left
    And 5.1 s pass on the evacuation host
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: a host that missed an evacuation takes a lost one over from a peer
    Guards against new flows from a host that knows the zone's former return only.
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 8
    And the store returns zone z1 at revision 9
    And a peer's copy of the next history lists z1 as lost with 5 s left
    Then of the evacuation host's zones z2 gets new flows

  Scenario: an evacuation of a zone that no server has changes nothing
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone unknown at revision 11
    Then of the evacuation host's zones z1,z2 gets new flows
    And the evacuation host shows unknown as evacuated

  Scenario: each return within a watch counts as a new one
    Guards against a zone whose servers may have become cold and are used as warm.
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 11
    And the store returns zone z1 at revision 12
    And 10 s pass on the evacuation host
    And a peer reports that zone z1 returned again at revision 14
    Then the evacuation host learned of the return of z1 0 s ago

  Scenario Outline: an evacuation is in force on all hosts in time
    Given a fleet of 7 hosts that evacuates zone z1 while <failure>
    Then no host uses zone z1 from 5 s after the evacuation until its end
    And every host uses zone z1 again 5 s after the end

    Examples:
      | failure                                       |
      | nothing fails                                 |
      | one message in ten is lost                    |
      | a host restarts without the store             |
      | a host restarts without its peers             |
      | the reader is killed                          |
      | the reader is cut off from the store          |
      | the reader is cut off between start and end   |
      | zone z1 is cut off from the other zones       |
      | the store is silent after it                  |
      | the store is compacted                        |
      | the store is restored and loses it            |
      | the store is restored and brings it back      |

  Scenario: an evacuation that is lost and not written again ends on all hosts
    Given a fleet of 7 hosts whose store loses the evacuation of zone z1
    Then no host uses zone z1 within 29 s after the loss
    And every host uses zone z1 again 35 s after the store's return

  Scenario: all hosts agree on a zone that is evacuated and returned at once
    Given a fleet of 7 hosts that evacuates and returns zone z1 within one watch
    Then every host uses zone z1 again 5 s after the end
    And every host that read or heard of it knows of the return

  Scenario: a copy that lists a zone as lost ends an evacuation that the store ended
    Guards against a zone that is out of use for ever on a host that missed the end, while
    its peer missed the whole evacuation of the new history.
    Given an evacuation host with servers in zones z1,z2
    When the store evacuates zone z1 at revision 8
    And a peer's copy of the same history lists z1 as lost with 5 s left
    Then of the evacuation host's zones z1,z2 gets new flows

  Scenario: hosts that are current agree with a restored store about a zone
    Then the model of zone evacuations holds with all mechanisms

  Scenario Outline: each mechanism of evacuations against a restored store is needed
    Guards against a model that holds even without a mechanism.
    Then the model of zone evacuations fails without <mechanism>

    Examples:
      | mechanism       |
      | epochs          |
      | exact_base      |
      | confirmations   |
      | all_zones       |
      | copied_revision |
