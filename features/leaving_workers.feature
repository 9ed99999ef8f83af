Feature: A worker that leaves gives up its own runs, and no others
  A worker says that it leaves once, and the request may arrive late. The
  scenarios guard against a run that is started elsewhere while it still runs.

  Scenario Outline: A worker restarts as incarnation 2 and runs a task, and incarnation <left> is said to have left
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation <left> is said to have left, and 0.2 s pass
    Then the phase of the task is <phase>

    Examples:
      | left | phase    |
      | 1    | ASSIGNED |
      | 2    | WAITING  |
      | 3    | WAITING  |
      | 0    | WAITING  |
