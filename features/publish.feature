Feature: Publishing the site configuration
  Operators change a site by publishing its configuration. An accepted change is never reverted.

  Scenario Outline: Two operators publish from the same revision
    Given revision 1 of the site configuration is in force
    When <first> publishes a configuration based on revision 1
    And <second> publishes a configuration based on revision 1
    Then the configuration of <first> is accepted as revision 2
    And the configuration of <second> is rejected in favour of that of <first>

    Examples:
      | first | second |
      | Anneke | Bashir |
      | Bashir | Anneke |
