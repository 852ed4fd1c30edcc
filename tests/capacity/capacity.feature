Feature: capacity model

  Scenario Outline: a fit finds the slope and the intercept of linear costs
    Guards against slopes and intercepts that are swapped on the capacity page.
    When capacity points with slope <slope> and intercept <intercept> are fitted
    Then the capacity fit has slope <slope>, intercept <intercept> and no residual

    Examples:
      | slope | intercept |
      | 0.25  | 7         |
      | -3    | 1000      |
      | 0     | 4         |

  Scenario: a fit of costs that are not linear has a residual
    Guards against a quadratic cost that is extrapolated as if it were linear.
    When capacity points of a quadratic cost are fitted
    Then the capacity fit has a residual above 5 percent

  Scenario: a fit of two points is rejected
    Guards against a residual that is zero only because two points define a line.
    When two capacity points are fitted
    Then the capacity fit is rejected

  Scenario Outline: a formula with unknown names or unsupported syntax is rejected
    Guards against a misspelled name in a formula that counts as zero.
    When the capacity formula "<formula>" is evaluated
    Then the capacity formula is rejected

    Examples:
      | formula                  |
      | unknown * 2              |
      | at(unknown, regions)     |
      | regions ** 2             |
      | __import__("os").getpid() |

  Scenario: a quick run measures every slope that the formulas use
    Guards against a measurement that an interface change has broken.
    When the capacity slopes are measured with quick sizes
    Then each slope in the capacity formulas was measured and is finite
    And the capacity slopes are equal after a round trip through JSON

  Scenario: the tables of the capacity page are up to date
    Guards against figures on the page that no committed measurement supports.
    Given the capacity page and its committed file of slopes
    Then rendering the capacity page again does not change it
    And the capacity page has each table exactly once
    And the capacity page names the command that measured its slopes

  Scenario: each target figure of the design page affects an estimate
    Guards against a requirement that the capacity page leaves out.
    Given the capacity page and its committed file of slopes
    Then each capacity target figure stands on the design page
    And a change of any capacity target figure changes an estimate

  Scenario: each estimate over its limit names a design change
    Guards against an exceeded limit that has no remedy.
    Given the capacity page and its committed file of slopes
    Then each capacity estimate over its limit has a remedy
    And each alternative design is over a capacity limit

  Scenario Outline: some estimates agree with a calculation by hand
    Guards against a wrong formula, which the page and the model would share.
    Then the capacity estimate "<quantity>" is about <value> if all costs are <cost>

    Examples:
      | quantity                                     | cost | value    |
      | full mesh of heartbeats: of all hosts, bytes | 90   | 179910   |
      | whole document each change: at the mean rate | 1e6  | 45138.9  |
      | document changes                             | 2    | 0.0902778 |
      | ticks of steering and admission              | 0.01 | 0.2      |
      | pending watches                              | 12   | 72       |
      | bytes at the peak rate                       | 3000 | 1500     |
      | flows seen while idle                        | 1    | 64000    |
