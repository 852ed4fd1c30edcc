Feature: command-line tool for operators

  Scenario: a fault is printed with its line and remedy
    Given a ctl document "a.yaml" with version 1 and weight 0
    When ctl runs "check a.yaml"
    Then ctl exits with 1 and prints "a.yaml:7: ctl.targets.t.weight is 0; use a number above 0"

  Scenario: a document that cannot be read is a fault
    When ctl runs "check missing.yaml"
    Then ctl exits with 1 and prints "No such file"

  Scenario: a change that hosts would ignore fails the check against the old document
    Guards against publishing a version that is not higher: every host ignores it.
    Given a ctl document "a.yaml" with version 2 and weight 1
    And a ctl document "b.yaml" with version 2 and weight 3
    When ctl runs "check b.yaml"
    Then ctl exits with 0 and prints "version 2, digest"
    When ctl runs "check b.yaml --against a.yaml"
    Then ctl exits with 1 and prints "set 'version: 3' or higher"

  Scenario: differences are printed with the share of flows that move
    Given a ctl document "a.yaml" with version 1 and weight 1
    And a ctl document "b.yaml" with version 2 and weight 3
    When ctl runs "diff a.yaml b.yaml"
    Then ctl exits with 1 and prints "weight changed: t (from 1 to 3), moves about 25.0%"
    When ctl runs "diff a.yaml a.yaml"
    Then ctl exits with 0 and prints "no change"

  Scenario: the packed files give the document byte for byte
    Guards against promoting content that differs from the tested document.
    Given a ctl document "a.yaml" with version 1 and weight 1
    When ctl runs "pack a.yaml --out trial"
    And ctl runs "pack a.yaml --out production"
    Then the ctl folders trial and production contain the bytes of "a.yaml"

  Scenario: wrong usage has its own exit code
    When ctl runs "check"
    Then ctl exits with 2
    When ctl runs "status --hosts ,"
    Then ctl exits with 2

  Scenario: a lagging host is listed with the time since which it lags
    Given ctl hosts one and two with versions 3 and 3
    When ctl runs "status --hosts one,two"
    Then ctl exits with 0 and prints "0 lagging, 0 unreachable"
    Given ctl hosts one and two with versions 3 and 2
    When ctl runs "status --hosts one,two"
    Then ctl exits with 1 and prints "lags since 2026-05-04T03:00:00.000+00:00"
    When ctl runs "status --hosts one,two --json"
    Then ctl exits with 1 and prints JSON with host two lagging

  Scenario Outline: a host without a valid response counts as unreachable
    Guards against a report that omits a failing host.
    Given ctl hosts one and two with versions 3 and 3
    And the ctl host two <fault>
    When ctl runs "status --hosts one,two"
    Then ctl exits with 3 and prints "0 lagging, 1 unreachable"

    Examples:
      | fault                |
      | is down              |
      | returns invalid JSON |
      | never responds       |

  Scenario: a document counts as promoted when both environments have its digest
    Given ctl hosts one and two with versions 3 and 3
    When ctl runs "promoted one two"
    Then ctl exits with 0 and prints "the same document is in force"
    Given ctl hosts one and two with versions 3 and 4
    When ctl runs "promoted one two"
    Then ctl exits with 1 and prints "the documents differ"

  Scenario: explain prints the host's explanation
    Given ctl hosts one and two with versions 3 and 3
    When ctl runs "explain --host one --address 10.0.0.1:5683 --caller 10.0.0.2:9"
    Then ctl exits with 0 and prints "10.0.0.2:9 gets reservas-1 of 10.0.0.1:5683"

  Scenario: nodes that lag or hold an outdated view are listed
    Given a ctl node "front-1" at version 7 that is 40 ms old and reads the store
    And a ctl node "front-2" at version 6 that is 4000 ms old
    When ctl runs "nodes" on the nodes
    Then ctl exits with 1 and prints "lags behind version 7"
    And ctl printed "reads the store (position 0)"
    And ctl printed "1 behind, 0 unreachable, 1 reading"

  Scenario: a node explains what would happen to an opening packet
    Given a ctl node "front-1" at version 7 that is 40 ms old and reads the store
    When ctl asks the node about an opening packet to "198.18.0.1:443"
    Then ctl exits with 0 and prints "i-01 (z1): dead, 0 requests under way here, alive 900 ms ago"
    And ctl printed "alive 20 ms ago, slowness 1.7 (peers, 300 ms ago)"

  Scenario: trace prints a flow's log lines and the events of its server
    Given a ctl log of a node
    When ctl traces "100.64.0.1:1000" to "198.18.0.1:443" in the log
    Then ctl exits with 0 and prints "event=flow_placed"
    And ctl printed "event=server_dead"
    And ctl did not print "100.64.0.2:1000"

  Scenario: trace of a flow that is not in the log says where to look
    Given a ctl log of a node
    When ctl traces "100.64.9.9:1" to "198.18.0.1:443" in the log
    Then ctl exits with 1 and prints "ask the logs of the zone's other hosts"
