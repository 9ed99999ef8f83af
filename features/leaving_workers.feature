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

  Scenario Outline: The leader's log shows that incarnation <left> has left
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation <left> is said to have left, and 0.2 s pass
    Then a line says that it has left with <runs> runs, known <known>, late <late>

    Examples:
      | left | runs | known | late  |
      | 1    | 0    | True  | True  |
      | 2    | 1    | True  | False |
      | 0    | 1    | True  | False |

  Scenario: The leader's log shows that a worker that has left says so again
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation 2 is said to have left, and 0.2 s pass
    And incarnation 2 is said to have left, and 0.2 s pass
    Then a line says that it has left with 0 runs, known False, late False

  # Guards against a task that runs twice, because a report of another writer is taken
  # for the next incarnation of its worker.
  Scenario Outline: A report under the id of a worker names the service <service> and incarnation <born>
    Given a configuration with the service s
    And a worker that has restarted as incarnation 2 and runs a task
    When a report under its id names the service <service> and incarnation <born>
    Then the phase of the task is <phase>

    Examples:
      | service | born | phase    |
      | other   | 2    | ASSIGNED |
      | other   | 3    | ASSIGNED |
      | s       | 1    | ASSIGNED |
      | s       | 3    | WAITING  |

  Scenario: A worker whose service is removed is still heard
    Given a configuration with the service s
    And a worker that has restarted as incarnation 2 and runs a task
    When the configuration names the service t instead
    And its worker says that the task is done
    Then the phase of the task is DONE

  # Shows a suspected cause of tasks that run twice (KNOWN-RED.txt): a report may
  # arrive later than the leave that was sent after it.
  Scenario: The end of a run arrives after its worker has left
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation 2 is said to have left, and 0.2 s pass
    And another worker reports twice
    And the report that the task is done arrives late
    Then the other worker has not been told to start the task
