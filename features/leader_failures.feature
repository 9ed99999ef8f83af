Feature: What fails on a leader costs itself and not the deployment
  Jobs are stored and reports are repeated, so an exception that ends a leader would
  end the next one too. It is logged, what has failed is left out, and the rest goes on.

  # Guards against a stored job that ends each process that leads.
  Scenario Outline: The leader fails when it <handles> a job
    Given a leader that fails when it <handles> the job bad
    When the jobs bad and good are submitted
    Then the tasks of good are started and those of bad are not
    And the log says that the job bad was set aside, once
    And nothing on the worker is reserved for it

    Examples:
      | handles                   |
      | ranks                     |
      | searches a worker for     |
      | has chosen a worker for   |

  Scenario: The leader fails when it assigns a task that has moved
    Given a task that is to move to a worker, and another task of its step
    When assigning moved tasks fails, and the task has stopped
    Then its job is set aside and the task is no longer moving

  Scenario Outline: The leader's <duty> fails
    Given a leader whose <duty> fails
    When the jobs bad and good are submitted
    Then the tasks of good are started and the log says that <duty> failed

    Examples:
      | duty                          |
      | expire                        |
      | effects_to_persist            |
      | jobs_to_forget                |
      | log_load                      |
      | move_serving_tasks            |

  Scenario Outline: A report fails when it is <handled>
    Given a leader
    When a report fails when it is <handled>
    Then it is answered PROPOSAL_UNKNOWN, and the next report with orders

    Examples:
      | handled  |
      | read     |
      | answered |
