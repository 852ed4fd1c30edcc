Feature: dissemination of documents and host lists

  Scenario: a changed document is in force on all hosts within 3 s
    Given a settled dissemination fleet of 20 hosts
    When operators publish document 2 with one changed segment
    Then within 3 s document 2 is in force on all hosts
    And each dissemination host received less than 30000 bytes for it
    And two dissemination hosts per zone watch the platform

  Scenario: a new document is offered to three peers at once
    Guards against changes that wait for the next periodic offer.
    Given a lone dissemination component that knows 6 peers
    When a peer sends the dissemination component a document
    Then it offers the document to 3 dissemination peers without a tick

  Scenario: half of the hosts are replaced while a change spreads
    Guards against new hosts that miss a change or put an old document in force.
    Given a settled dissemination fleet of 20 hosts
    When operators publish document 2 with one changed segment
    And dissemination hosts 0 to 9 are replaced at once
    Then within 3 s document 2 is in force on all hosts
    And within 5 s all dissemination hosts are ready

  Scenario: a stale platform does not revert hosts to an older document
    Given a settled dissemination fleet of 7 hosts
    When operators publish document 2 with one changed segment
    Then within 3 s document 2 is in force on all hosts
    When the platform reverts to document 1
    And dissemination hosts 0 to 3 are replaced at once
    Then within 5 s all dissemination hosts are ready
    And document 2 is in force on all hosts for 10 s

  Scenario: of two documents with the same number the greater digest wins on all hosts
    Given a settled dissemination fleet of 7 hosts
    When operators publish two different documents 2 at the same time
    Then within 3 s the greater document 2 is in force on all hosts
    And a dissemination version conflict was counted

  Scenario: in a partition the hosts outside the cut-off zone converge, and all do once it heals
    Given a settled dissemination fleet of 20 hosts
    When dissemination zone zone-1 is cut off from others and the platform
    And operators publish document 2 with one changed segment
    Then within 3 s document 2 is in force outside zone-1 only
    When the dissemination links work again after 40 s
    Then within 3 s document 2 is in force on all hosts

  Scenario: other hosts become readers when the readers die
    Given a settled dissemination fleet of 20 hosts
    When all dissemination readers are killed
    And 12 s pass in the dissemination fleet
    And operators publish document 2 with one changed segment
    Then within 3 s document 2 is in force on all hosts

  Scenario: a new host fetches everything from peers while the platform is down
    Given a settled dissemination fleet of 7 hosts
    When the platform is down
    And dissemination hosts 4 to 4 are replaced at once
    Then within 5 s all dissemination hosts are ready

  Scenario: no host is ready without a document
    Guards against hosts that are ready with nothing to serve after a full restart.
    Given a settled dissemination fleet of 7 hosts
    When the platform is down
    And dissemination hosts 0 to 6 are replaced at once
    And 20 s pass in the dissemination fleet
    Then no dissemination host is ready

  Scenario: a host without an answer from the platform becomes ready after 3 s
    Given a lone dissemination component with a document and host list from a peer
    Then it is not ready after 2.9 s of dissemination
    And it is ready after 3.1 s of dissemination

  Scenario: a host that knows of a newer version is not ready with an older one
    Given a lone dissemination component with a document and host list from a peer
    When the platform returns a newer manifest whose segments cannot be read
    Then it is not ready after 3.1 s of dissemination

  Scenario: a segment that does not match its digest is discarded
    Given a lone dissemination component that lacks a segment
    When a peer sends it a dissemination segment with wrong bytes
    Then it puts no document in force and counts a bad segment

  Scenario: a manifest that lists another document's segment is discarded
    Given a lone dissemination component that lacks a segment
    When a peer sends it a manifest that lists another document's segment, and that segment
    Then it puts no document in force and counts bad content

  Scenario: a faulty document is rejected by every host
    Given a settled dissemination fleet of 7 hosts
    When all dissemination hosts reject documents that contain "faulty"
    And operators publish a faulty document 2
    Then document 1 stays in force on all hosts for 5 s
    When operators publish document 3 with one changed segment
    Then within 3 s document 3 is in force on all hosts

  Scenario: large documents are sent in bounded messages
    Given a settled dissemination fleet of 7 hosts with 100 segments of 5000 bytes
    When dissemination hosts 4 to 4 are replaced at once
    Then within 5 s all dissemination hosts are ready
    And no dissemination datagram exceeded 1200 bytes, no other message 100000 bytes

  Scenario: a changed host list reaches all hosts as changed segments only
    Given a settled dissemination fleet of 7 hosts
    When the platform's host list of 2000 targets changes one entry
    Then each dissemination host uses it within 3 s and received less than 30000 bytes

  Scenario: a host list written after the platform was restored is used
    Guards against lists that are ignored because the platform's revision went back.
    Given a settled dissemination fleet of 7 hosts
    When the platform's host lists 2 and 3 are written and used
    And the platform is restored from the copy before them
    And 2 s later host list 4 is written
    Then each dissemination host uses host list 4 within 3 s

  Scenario: a restored platform does not take the host list back
    Given a settled dissemination fleet of 7 hosts
    When the platform's host lists 2 and 3 are written and used
    And the platform is restored from the copy before them
    Then each dissemination host uses host list 3 for 5 s

  Scenario: a host list that reuses a revision of the platform is used
    Guards against a watch that starts after the change.
    Given a settled dissemination fleet of 7 hosts
    When the platform's host lists 2 and 3 are written and used
    And the platform is restored from the copy before them
    And 2 s later host list 4 is written
    And 2 s later host list 5 is written
    Then each dissemination host uses host list 5 within 3 s

  Scenario: a watch that ends without a change is renewed at once
    Guards against readers that miss changes for seconds on a quiet platform.
    Given a lone dissemination component that watches the platform
    When its watch ends without a change 5 times
    Then it has renewed the watch within 0.1 s each time
    And it counted no platform errors

  Scenario: a watch that ends without a change in another history is followed by a read
    Given a lone dissemination component that watches the platform
    When its watch ends without a change after the platform was restored
    Then it reads the platform instead of watching

  Scenario: platform calls do not grow with the number of hosts
    Then 36 settled dissemination hosts make as many platform calls as 12

  Scenario: the first platform reads of new hosts are spread over time
    Guards against 8,000 platform calls per second after a restart of all hosts.
    Then 200 new dissemination components read the platform over 2.5 s
    And 200 components that are offered a version after 0.1 s read the platform at the same times as without the offer
    And 200 components that are offered a version after 1 s read the platform at the same times as without the offer

  Scenario: random faults never lower a version and end in agreement
    Then dissemination fleets agree within 3 s after random faults

  Scenario: the specification of the configuration holds
    Then the configuration model holds in all states
    And without the order rule a dissemination host reverts
    And without the tie break hosts may keep two different documents with one number in force
