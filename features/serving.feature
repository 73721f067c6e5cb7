Feature: Serving customers through shutdowns, thermal limits, failures and overload
  Urgent work is served first, and no accepted work is lost or run twice.

  Background:
    Given a site with the failure domains gent-a and gent-b

  Scenario Outline: Two operators publish to the running site from the same revision
    When two operators publish from revision 1 at the same time
    And <seconds> seconds pass
    Then the configuration of the first operator is in force on every instance as revision 2

    Examples:
      | seconds |
      | 5       |
      | 13      |

  Scenario Outline: An entry instance is shut down gracefully while requests are in flight
    When <count> <service> requests are sent to <instance>
    And <instance> is shut down gracefully
    And 10 seconds pass
    Then every request receives a complete response
    And <instance> has stopped without aborting a request

    Examples:
      | count | service | instance |
      | 6     | booking | gent-a-1 |
      | 6     | lookup  | gent-a-2 |
      | 3     | booking | gent-b-2 |

  Scenario Outline: An executor leaves the site
    When <executor> is listed as leaving
    And 4 seconds pass
    And 10 lookup requests are sent to <instance>
    And 4 seconds pass
    Then every request receives a complete response
    And <executor> has run none of the requests

    Examples:
      | executor          | instance |
      | gent-a-executor-1 | gent-a-1 |
      | gent-a-executor-2 | gent-a-3 |

  Scenario Outline: A thermal limit reduces the capacity
    When operators allow <percent> percent of the capacity
    And 5 seconds pass
    And a deferrable batch job of 8 tasks is submitted to gent-a-1
    And 5 seconds pass
    Then at most <maximum> tasks run in gent-a
    When operators allow 100 percent of the capacity
    And 60 seconds pass
    Then every accepted job has ended

    Examples:
      | percent | maximum |
      | 50      | 6       |
      | 0       | 0       |

  Scenario Outline: A failure domain is partitioned from the platform and from the others
    When <domain> is partitioned from the network
    And 15 seconds pass
    And 4 booking requests are sent to <instance>
    And a batch job of 1 tasks is submitted to <instance>
    And 6 seconds pass
    Then every request receives a complete response
    And the submission receives the verdict mayHaveRun with the identity of the job
    When the connections are restored
    And 20 seconds pass
    Then each failure domain has one owner

    Examples:
      | domain | instance |
      | gent-a | gent-a-2 |
      | gent-b | gent-b-1 |

  Scenario Outline: All entry instances restart at once
    When a batch job of <tasks> tasks is submitted to gent-a-1
    And <seconds> seconds pass
    And all entry instances crash and restart
    And 60 seconds pass
    And 4 booking requests are sent to gent-a-1
    And 5 seconds pass
    Then every request receives a complete response
    And every accepted job has ended

    Examples:
      | tasks | seconds |
      | 2     | 1       |
      | 5     | 3       |

  Scenario: Urgent requests take precedence over deferrable ones under overload
    Given the executors take 400 milliseconds for a request
    When 200 sync requests are sent to gent-b-1
    And 4 booking requests are sent to gent-b-1
    And 10 seconds pass
    Then every booking request receives a complete response
    And some sync requests receive the verdict notRun or are still waiting

  Scenario Outline: A booking is submitted again with its idempotency key to another instance
    When a booking with the idempotency key parcel-1 is sent to <first>
    And <seconds> seconds pass
    And a booking with the idempotency key parcel-1 is sent to <second>
    And 5 seconds pass
    Then the booking with the idempotency key parcel-1 has run once

    Examples:
      | first    | second   | seconds |
      | gent-a-1 | gent-a-2 | 0       |
      | gent-a-1 | gent-b-1 | 2       |
