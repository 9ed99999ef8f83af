Feature: A worker that leaves gives up its own runs, and no others
  A worker says that it leaves once, and the request may arrive late. The
  scenarios guard against a run that is started elsewhere while it still runs.

  Scenario Outline: A worker restarts as incarnation 2 and runs a task, and incarnation <left> is said to have left
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation <left> is said to have left, and its lease expires
    Then the phase of the task is <phase>

    Examples:
      | left | phase    |
      | 2    | WAITING  |
      | 3    | WAITING  |
      | 0    | WAITING  |

  # Guards against a task that runs twice, because its worker isn't answered when it
  # leaves and goes on.
  Scenario Outline: Incarnation <left> is said to have left, and it is silent for <seconds> s while its lease runs
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation <left> is said to have left, and it is silent for <seconds> s
    Then the phase of the task is ASSIGNED

    Examples:
      | left | seconds |
      | 1    | 2.1     |
      | 1    | 6.0     |
      | 2    | 2.1     |
      | 2    | 6.0     |
      | 3    | 2.1     |
      | 3    | 6.0     |
      | 0    | 2.1     |
      | 0    | 6.0     |

  # Guards against the same at a leader that doesn't know the worker or its leave.
  Scenario Outline: A leader elected <elected> s after the lease was granted <event>, and the worker is silent for <seconds> s
    Given a worker that has restarted as incarnation 2 and runs a task
    When a leader elected <elected> s after its lease <event>, and it is silent for <seconds> s
    Then another worker has been told to start <count> tasks

    Examples:
      | elected | event                               | seconds | count |
      | 0.1     | hears that incarnation 2 has left   | 6.2     | 0     |
      | 0.1     | hears that incarnation 2 has left   | 7.2     | 1     |
      | 2.0     | hears that incarnation 2 has left   | 6.2     | 0     |
      | 2.0     | hears that incarnation 2 has left   | 7.2     | 1     |
      | 2.0     | follows one that heard of its leave | 6.2     | 0     |
      | 2.0     | follows one that heard of its leave | 7.2     | 1     |

  Scenario Outline: A worker without runs leaves, naming <left>, and is silent for <seconds> s
    Given a worker that has restarted as incarnation 2 and runs nothing
    When it leaves, naming incarnation <left>, and is silent for <seconds> s
    Then the leader <state> the worker

    Examples:
      | left | seconds | state           |
      | 2    | 1.8     | knows           |
      | 2    | 2.4     | doesn't know    |
      | 0    | 1.8     | knows           |
      | 0    | 2.4     | doesn't know    |

  Scenario Outline: The leader's log shows that incarnation <left> has left
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation <left> is said to have left, and its lease expires
    Then a line says that it has left with <runs> runs, known <known>, late <late>

    Examples:
      | left | runs | known | late  |
      | 1    | 0    | True  | True  |
      | 2    | 1    | True  | False |
      | 0    | 1    | True  | False |

  Scenario: The leader's log shows that a worker that has left says so again
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation 2 is said to have left, and its lease expires
    And incarnation 2 is said to have left, and its lease expires
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

  # Guards against a task that is started again although the success of an earlier
  # run is acknowledged. A report may arrive later than the leave that its worker
  # sent after it.
  Scenario Outline: The success of a <kind> arrives after its worker has left, and <state>
    Given a worker that has restarted as incarnation 2 and runs a <kind>
    When incarnation 2 is said to have left, and <state>
    And the report that the task is done arrives late
    Then the late report is answered without a lease or an acknowledgement
    And another worker is told to start <count> tasks
    And all tasks are done once what it runs is done

    Examples:
      | kind            | state                                   | count |
      | task            | the commit of its leave is pending      | 0     |
      | task            | no other worker has room                | 0     |
      | task            | the assignment to another is pending    | 1     |
      | task            | another worker has been told to start   | 1     |
      | gang of 2 tasks | the commit of its leave is pending      | 0     |
      | gang of 2 tasks | no other worker has room                | 0     |
      | gang of 2 tasks | the assignment to another is pending    | 2     |
      | gang of 2 tasks | another worker has been told to start   | 2     |

  Scenario Outline: A report of incarnation <born> arrives <seconds> s after incarnation <left> is gone
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation <left> is said to have left, and its lease expires
    And incarnation <born> says <seconds> s later that the task is done
    Then its report is <answer>

    Examples:
      | left | born | seconds | answer   |
      | 2    | 2    | 9       | refused  |
      | 2    | 2    | 11      | answered |
      | 2    | 3    | 1       | answered |
      | 1    | 2    | 1       | answered |
      | 0    | 2    | 9       | refused  |
      | 0    | 2    | 11      | answered |

  Scenario: A worker that is still there after its leave is told to stop what it runs
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation 2 is said to have left, and its lease expires
    And incarnation 2 says 1 s later that the task runs
    Then it is told to stop the task, with the fencing token of the leader

  # Guards against the end of a later run that is forgotten before it is committed.
  Scenario: The success of a task arrives after its worker has left and has restarted
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation 2 is said to have left, and its lease expires
    And it restarts as incarnation 3 before the report that the task is done arrives
    Then the phase of the task is DONE
    And no end of incarnation 3 is acknowledged

  # Guards against tasks that wait for a worker that is gone.
  Scenario: No task is assigned to a worker whose report arrives after its leave
    Given a worker that has restarted as incarnation 2 and runs a task
    When incarnation 2 is said to have left, and its lease expires
    And incarnation 2 says 1 s later that the task is done
    Then a task that waits is assigned to no worker

  # Guards against a task that is started again although the success of an earlier
  # run is acknowledged: the leave, as the platform sends it, names no incarnation.
  Scenario Outline: A worker leaves, naming <left>, and its success arrives after <seconds> s
    Given a worker that has restarted as incarnation 2 and runs a task
    When it leaves, naming incarnation <left>, and is silent for <seconds> s
    And its report that the task is done arrives
    Then the success is <answer>, and another worker has been told to start <count> tasks

    Examples:
      | left | seconds | answer           | count |
      | 0    | 1.6     | acknowledged     | 0     |
      | 0    | 3.0     | acknowledged     | 0     |
      | 0    | 6.0     | acknowledged     | 0     |
      | 0    | 7.2     | not acknowledged | 1     |
      | 2    | 1.6     | acknowledged     | 0     |
      | 2    | 3.0     | acknowledged     | 0     |
      | 2    | 6.0     | acknowledged     | 0     |
      | 2    | 7.2     | not acknowledged | 1     |

  # Guards against a task that runs twice, because its worker has not left yet.
  Scenario Outline: A worker leaves, naming <left>, and still reports <state> for <seconds> s
    Given a worker that has restarted as incarnation 2 and runs a task
    When it leaves, naming incarnation <left>, and still reports <state> for <seconds> s
    And its report that the task is done arrives
    Then the success is acknowledged, and another worker has been told to start 0 tasks

    Examples:
      | left | state    | seconds |
      | 0    | draining | 4       |
      | 2    | draining | 4       |
      | 0    | draining | 12      |
      | 0    | ready    | 4       |
      | 1    | ready    | 4       |

  Scenario Outline: A worker still reports <state> for 2 s after its leave, then it is silent for <seconds> s
    Given a worker that has restarted as incarnation 2 and runs a task
    When it leaves, naming incarnation 0, and still reports <state> for 2 s
    And it is silent for <seconds> s
    And its report that the task is done arrives
    Then the success is <answer>, and another worker has been told to start <count> tasks

    Examples:
      | state    | seconds | answer           | count |
      | ready    | 6       | acknowledged     | 0     |
      | draining | 6       | acknowledged     | 0     |
      | draining | 7       | not acknowledged | 1     |

  # Guards against the same under a new leader, which doesn't know who has left.
  Scenario Outline: A new leader hears for <seconds> s of the success of a run that another has followed
    Given a worker whose run was lost and whose task another worker was told to start
    When a new leader hears for <seconds> s that the lost run is done
    Then it has acknowledged the ends up to number <number>

    Examples:
      | seconds | number |
      | 0       | 1      |
      | 6       | 1      |
      | 7       | 3      |

  # Guards against a run that is taken for absent while the order to start it arrives.
  Scenario Outline: A worker that was told to start a task reports <seconds> s later that it drains, without the task
    Given a worker that was told to start a task
    When it reports <seconds> s later that it drains and runs nothing
    Then the phase of the task is <phase>

    Examples:
      | seconds | phase    |
      | 0.1     | ASSIGNED |
      | 1.0     | ASSIGNED |
      | 2.1     | WAITING  |

  # Guards against a run after the last attempt has failed (KNOWN-RED.txt).
  Scenario: The failure of an earlier run is reported after that of a later one
    Given a task with 2 attempts, of which the first was lost with its worker's lease
    When the second run fails, and then the first worker reports that its run has failed
    Then no third run is started
