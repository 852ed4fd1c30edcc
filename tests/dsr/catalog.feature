Feature: routes and servers in force on one host

  Scenario: updates in any order give the same catalog
    Guards against hosts that disagree for good after a partition.
    Then 300 random histories end alike however their updates are ordered and repeated

  Scenario: the version never goes back
    Given a catalog with version 7
    When a full copy with version 5 is applied
    Then the catalog has version 7

  Scenario: a stale copy does not bring a removed server back
    Given a catalog from which server 1 was removed at revision 9
    When a full copy of revision 6 that lists server 1 of revision 4 is applied
    Then server 1 is not listed

  Scenario: a server that started again under its identifier is listed again
    Given a catalog from which server 1 was removed at revision 9
    When an update lists server 1 of revision 11
    Then server 1 is listed

  Scenario: an update on a base that is not known is refused
    Given a catalog with version 7
    Then an update on revision 40 can't be applied

  Scenario: removals of servers that were never known are forgotten
    Guards against memory that grows with every server that ever left.
    Given a catalog to which 500 removals of unknown servers come within 1000 s
    Then it remembers at most 50 of them
