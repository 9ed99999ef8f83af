Feature: Keepers relay workers' reports to the leader
  The scenario guards against tasks that are lost or started twice when a keeper
  that relays reports is killed, frozen or asked to stop.

  Scenario Outline: A keeper that relays reports to the leader is <fault>
    Given 3 keepers that relay reports to the leader, and 1 process without a disk
    And an operator's configuration and 2 fake workers
    When a caller submits a job to the process without a disk
    Then its tasks are all done within 15 seconds
    And the workers report to keepers other than the leader
    When a caller submits a job to the process without a disk
    And a keeper to which a worker reports is <fault>
    And a caller submits a job to the process without a disk
    Then its tasks are all done within 25 seconds
    And no task has been started twice

    Examples:
      | fault            |
      | killed           |
      | frozen for 3 s   |
      | asked to stop    |
