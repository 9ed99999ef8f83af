Feature: Filling tasks use the capacity that serving tasks leave, and no more
  A leader learns how much a filling task slows down serving tasks beside it, and
  orders its pace. The scenarios guard against filling tasks that push a serving
  task over its target latency, and against capacity that is left unused.

  Scenario Outline: A worker that reports every <interval> ms applies the pace that it is ordered
    Given a worker with a filling task and a serving task whose tail latency is <tail> ms with a target of 150 ms
    When it reports every <interval> ms for 0.5 s and applies a pace 100 ms after the last order
    Then the filling task runs at less than <pace> percent

    Examples:
      | interval | tail | pace |
      | 60       | 400  | 50   |
      | 90       | 400  | 50   |
      | 400      | 400  | 50   |

  Scenario Outline: Filling tasks with effect <effect> beside a serving task with baseline headroom <alone>
    Given a serving task with baseline headroom <alone> and filling tasks with effect <effect>
    When the paces are computed
    Then they are <paces> percent

    Examples:
      | alone | effect   | paces  |
      | 4.0   | 1.0      | 100    |
      | 2.15  | 10.0     | 80     |
      | 1.2   | 20.0     | 0      |
      | 2.15  | 10.0,1.0 | 70,100 |
      | 2.15  | 1.0,40.0 | 100,17 |

  # Guards against more tasks of a service stopped at once than its owner allows.
  Scenario Outline: Long-running filling tasks on 3 workers are paused, and <limit> may be unavailable
    Given 3 workers with a long-running filling task each, of which <limit> may be unavailable
    When serving tasks beside them keep them paused for 4 s
    Then <count> of them are told to stop

    Examples:
      | limit | count |
      | all   | 3     |
      | 1     | 1     |
      | 0     | 0     |

  Scenario Outline: An effect that a leader has learned is known to the next leader, from <source>
    Given a leader that has learned the effect of a filling image on a serving image
    When it persists the effect and another keeper becomes leader with the state from <source>
    Then the new leader knows the effect

    Examples:
      | source       |
      | the log      |
      | a snapshot   |

  Scenario Outline: A filling task that is <pace> <verdict> other filling tasks
    Given a worker whose processors are claimed by a filling task that is <pace>
    When a filling task that does not interfere waits
    Then it is assigned to <given> worker

    Examples:
      | verdict       | pace          | given |
      | keeps out     | at full pace  | no    |
      | lets in       | paused        | that  |

  Scenario: An image that fits on no worker keeps out no other image of the same size
    Given a worker of 64 cores with a serving task of 13 cores, an image that interferes strongly with it and one that does not
    When a filling task of each image waits, the interfering one first
    Then only the one that does not interfere is assigned to the worker

  Scenario Outline: A filling task that interferes on every worker, <age> s after its submission
    Given a worker of <cores> cores with a serving task of 13 cores, an image that interferes strongly with it and one that does not
    When a filling task of the interfering image has waited for <age> s
    Then it is assigned to <given> worker

    Examples:
      | cores | age | given |
      | 64    | 1   | no    |
      | 64    | 9   | that  |
      | 24    | 9   | that  |
      | 22    | 9   | no    |

  Scenario Outline: An ordinary task of <asks> cores is assigned to the worker with <gap> free cores
    Given workers with 4, 9 and 20 free cores
    When an ordinary task of <asks> cores waits
    Then it is assigned to the worker with <gap> free cores

    Examples:
      | asks | gap |
      | 3    | 4   |
      | 5    | 9   |
      | 14   | 20  |

  Scenario: The leader's log shows free capacity and waiting tasks
    Given workers with 4, 9 and 20 free cores
    When an ordinary task of 30 cores waits
    Then the load line shows 33 free cores, a largest gap of 20 and 1 ordinary task waiting

  Scenario Outline: A task that has failed in <failures> of <allowed> attempts, where only a suspect worker has free capacity
    Given a free worker on which a task has failed and <others> full ones
    When a task waits that has failed in <failures> of <allowed> attempts
    Then it <verdict>

    Examples:
      | failures | allowed | others | verdict                    |
      | 0        | 2       | 3      | goes to the suspect worker |
      | 1        | 3       | 3      | goes to the suspect worker |
      | 1        | 2       | 3      | waits                      |
      | 1        | 2       | 1      | goes to the suspect worker |

  # Guards against a last attempt that is never made, because no other task comes
  # to the only suitable worker and clears it of suspicion.
  Scenario Outline: A last attempt <seconds> s after a failure on the only worker with free capacity
    Given a free worker on which a task has failed and 3 full ones
    When a task waits that has failed in 1 of 2 attempts
    And all workers go on reporting for <seconds> s
    Then it <verdict>

    Examples:
      | seconds | verdict                    |
      | 7       | waits                      |
      | 9       | goes to the suspect worker |

  Scenario: A last attempt prefers a worker without failures to one whose failure is old
    Given a free worker on which a task has failed and 3 full ones
    When all workers go on reporting for 9 s
    And a free worker without failures reports
    And a task waits that has failed in 1 of 2 attempts
    Then it goes to the worker without failures

  # Guards against a gang that never starts. No other task comes to the worker, so
  # nothing ends its trial.
  Scenario: A gang of 2 tasks waits for the only worker, which is on trial
    Given a free worker that is on trial after a probation
    When a gang of 2 tasks waits
    Then both tasks are assigned to the worker on trial

  # Guards against more tasks than needed on workers that may be faulty.
  Scenario Outline: A gang of <tasks> tasks with 1 core each, <trials> workers on trial, another with <free> of <cores> cores free
    Given <trials> workers on trial with 16 cores, and one without failures with <free> of <cores> cores free
    When a gang of <tasks> tasks waits for 4 s
    Then it starts after <first> s with <at_risk> tasks on workers on trial

    Examples:
      | tasks | trials | free | cores | first      | at_risk |
      | 4     | 1      | 4    | 4     | 0.0 to 0.1 | 0       |
      | 5     | 1      | 4    | 4     | 0.0 to 0.1 | 1       |
      | 6     | 1      | 4    | 4     | 2.0 to 2.3 | 2       |
      | 6     | 2      | 4    | 4     | 0.0 to 0.1 | 2       |
      | 2     | 1      | 0    | 4     | 2.0 to 2.3 | 2       |
      | 3     | 2      | 0    | 4     | 2.0 to 2.3 | 3       |
      | 3     | 2      | 0    | 0     | 0.0 to 0.1 | 3       |

  Scenario: A gang waits for a worker that gets free before the wait for workers on trial ends
    Given 1 workers on trial with 16 cores, and one without failures with 0 of 4 cores free
    When a gang of 2 tasks waits for 1 s
    Then it does not start
    When the task on the worker without failures ends
    And a gang of 2 tasks goes on waiting for 4 s
    Then it starts after 0.0 to 1.5 s with 0 tasks on workers on trial

  Scenario Outline: A gang waits and the only worker on trial <state>
    Given 1 workers on trial with 16 cores, and one without failures with 0 of 0 cores free
    And the worker on trial <state>
    When a gang of 2 tasks waits for 4 s
    Then it starts after 0.0 to 0.3 s with 2 tasks on workers on trial

    Examples:
      | state                                           |
      | runs a task                                     |
      | is on probation, as is each worker of its service |

  # Guards against colocated tasks that never start; they may run one by one.
  Scenario: A colocated step of 2 tasks waits for the only worker, which is on trial
    Given 1 workers on trial with 16 cores, and one without failures with 0 of 0 cores free
    When a colocated step of 2 tasks waits for 4 s
    Then it starts after 2.0 to 2.3 s with 1 tasks on workers on trial
