Feature: fingerprints of the entries that hosts hold

  Scenario: hosts with the same entries have the same fingerprint
    Guards against hosts that take equal catalogs for different ones, or the reverse, after
    entries were listed, changed, removed and listed again.
    Then 200 random histories and their last states alone have the same fingerprints
    And states that differ in one entry have different fingerprints

  Scenario: a copy whose pages differ in age has no fingerprint until it is current
    Given a host that loaded two pages, of revisions 20 and 25
    Then it tells peers no fingerprint
    When the changes up to revision 25 are applied
    Then it tells peers a fingerprint

  Scenario Outline: a host logs that a peer holds <other>
    Guards against hosts that route differently at the same revision without a trace.
    Given a host at revision 20
    When a peer at revision 20 that holds <other> sends it an update without changes
    Then it logs <lines> differences

    Examples:
      | other              | lines |
      | the same entries   | 0     |
      | another server     | 1     |
      | an evacuated zone  | 1     |
      | a newer version    | 1     |
      | an older version   | 0     |
