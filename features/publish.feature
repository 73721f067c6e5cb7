Feature: Publishing the site text
  Operators drive a site by publishing its text. A change that was accepted never reverts.

  Scenario Outline: Two operators publish from the same revision
    Given revision 1 of the site text is in force
    When <first> publishes a text made from revision 1
    And <second> publishes a text made from revision 1
    Then <first> is told that revision 2 is in force
    And <second> is told that the race was lost to <first>

    Examples:
      | first | second |
      | Anneke | Bashir |
      | Bashir | Anneke |
