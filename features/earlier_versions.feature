Feature: Replicas of an earlier version apply the same log to the same state
  Processes are replaced one at a time, so replicas of two versions share a log. The
  logs, results and digests were written by the version before names, lists of ends and
  changes of queues were handled as now.

  Scenario Outline: A log of the earlier version, <log>
    When the log of the earlier version, <log>, is applied
    Then results and state are those of the earlier version
    And the state is the same after each entry if it comes from a snapshot

    Examples:
      | log                   |
      | random faults         |
      | limited steps         |
      | names that are no IDs |
      | changed queues        |
