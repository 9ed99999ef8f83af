Feature: A new leader decides by what may still be in flight from the earlier one
  Orders of the earlier leader, reports that were sent before them and stops that take
  their time are not in the state. The scenarios guard against a new leader that
  takes its first reports for the whole truth.

  # Guards against a worker beyond its limits: its first report predates an order.
  Scenario Outline: A late report does not list a run that is no longer wanted, and a task of <step> is planned in its place
    Given a worker on which an earlier leader has started a run that is no longer wanted
    And a new leader, to which a report without the run arrives after 3.6 s
    When a task of <step> is planned for the worker
    And a later report lists the run
    Then the worker is told to stop the run, and to start nothing until it has stopped

    Examples:
      | step                                    |
      | the same step, with a limit of 1        |
      | another job, which needs its capacity   |

  # Guards against a run that is taken for over because a late report doesn't list it.
  Scenario Outline: An unwanted run is missing from a report <seconds> s after the worker's first one
    Given a worker on which an earlier leader has started a run that is no longer wanted
    And a new leader, to which a report without the run arrives after 3.6 s
    When the run is missing from a report <seconds> s later
    Then the run is <state>

    Examples:
      | seconds | state          |
      | 0       | still assigned |
      | 2.9     | still assigned |
      | 3.1     | ended          |

  # Guards against the same by two reports that were held back, both sent before the
  # order to start the run.
  Scenario Outline: An unwanted run is missing from a second late report <seconds> s after the first
    Given a worker on which an earlier leader has started a run that is no longer wanted
    And a new leader, to which a report without the run arrives after 0.5 s
    When the run is missing from a report <seconds> s later
    Then the run is <state>

    Examples:
      | seconds | state          |
      | 3.1     | still assigned |
      | 5.8     | still assigned |
      | 6.0     | ended          |

  # Guards against two tasks of a step that are stopped to move at the same time.
  Scenario: A new leader is elected while a serving task stops to move
    Given two tasks of a step, of which one is to move
    When a new leader hears of the workers before the task has stopped
    Then it moves no other task of the step

  # Guards against a job that never ends: its worker's reports were refused.
  Scenario: A leader is elected after the service of a busy worker was removed
    Given a worker that runs a task and whose service has been removed
    When a new leader hears that the task is done
    Then the task's job is done

  # Guards against a filling task that an earlier leader paused and nobody resumes.
  Scenario: A leader is elected while a filling task is paused
    Given a worker whose filling task an earlier leader has paused
    When a new leader hears of it, and nothing needs the pause any more
    Then the task is ordered to run at full pace once
