Feature: Keepers read workers' reports for the leader

  Scenario Outline: A keeper that reads reports for the leader is <fault>
    Given 3 keepers that read reports for one another, and 1 process without a disk
    And an operator's configuration and 2 fake workers
    When a caller submits a job to the process without a disk
    Then its tasks are all done within 15 seconds
    And the workers report to keepers that do not lead
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
