Feature: A cluster runs jobs of steps and tasks as specified
  In simulated histories of crashes, lost disks, power losses and cut links, no
  task may run in two places or again after its success was acknowledged, and no
  accepted job may be lost. Single mechanisms are disabled to show that the
  histories detect such failures. The other scenarios cover log writes, the
  gateway, membership, probation and the credit that jobs earn.

  Scenario Outline: Random histories violate no invariant, seeds <first> to <last>
    When cluster histories <first> to <last> are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 1     | 1    |
      | 0     | 29   |
      | 100   | 129  |

  Scenario: A leader that only workers and callers reach violates no invariant
    When 5 cluster histories with an isolated leader are run
    Then no history violates an invariant

  Scenario Outline: A disk is lost while all other keepers lose power, seeds <first> to <last>
    When cluster histories <first> to <last> with a power loss are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 9    |

  # Guards against a quorum that is lost for good: a silent voter was removed
  # while the disk of another voter could be lost.
  Scenario Outline: A disk is lost while another keeper is away, seeds <first> to <last>
    When cluster histories <first> to <last> with a disk lost while another keeper is away are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 19   |

  # Guards against a submission that is refused and runs, because its queue was
  # removed between its commit and its answer.
  Scenario Outline: A queue is removed and added under submissions, seeds <first> to <last>
    When cluster histories <first> to <last> with changes of a queue are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 9    |

  # Guards against a job that waits for ever, because the only worker that may run
  # it has failed.
  Scenario Outline: Jobs that only one worker may run, seeds <first> to <last>
    When cluster histories <first> to <last> of jobs that need a label are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 19   |

  # Guards against a job that runs after its cancelling was answered, because its
  # submission arrives later.
  Scenario Outline: Jobs are cancelled before their submissions arrive, seeds <first> to <last>
    When cluster histories <first> to <last> of jobs that are cancelled before they arrive are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 9    |

  # Guards against a task that is started again although the success of an earlier
  # run is acknowledged.
  Scenario Outline: Workers are gone when their last reports arrive, seeds <first> to <last>
    When cluster histories <first> to <last> of workers that are gone when their last reports arrive are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 9    |
      | 60    | 79   |

  # Guards against two runs at once, of a worker that leaves, isn't answered and goes on.
  Scenario Outline: Workers leave, are cut off and go on, seeds <first> to <last>
    When cluster histories <first> to <last> of workers that leave, are cut off and go on are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 29   |

  # Guards against two runs at once, of a worker that takes an answer to its earlier
  # incarnation and one to which the task has been assigned since.
  Scenario Outline: Workers start again under their id and are cut off, seeds <first> to <last>
    When cluster histories <first> to <last> of workers that start again and are cut off are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 14   |

  # Guards against tasks that start again although they are done, since their ends don't
  # fit in one report.
  Scenario Outline: Reports list few of the ends of runs, seeds <first> to <last>
    When cluster histories <first> to <last> of reports that list few ends are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 19   |

  # Guards against a job that waits for ever for a service that its queue no longer
  # uses, and against a stored job that ends each leader.
  Scenario Outline: Queues change while jobs of them wait and run, seeds <first> to <last>
    When cluster histories <first> to <last> of queues that change are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 19   |

  Scenario Outline: The histories <kind> detect that <mechanism>
    When cluster histories <kind> are run from seed <first> on while <mechanism>
    Then at least one history violates an invariant

    Examples:
      | kind                                                    | first | mechanism                                               |
      | of workers that are gone when their last reports arrive | 45    | a worker that says that it leaves is gone at once       |
      | of workers that are gone when their last reports arrive | 49    | late reports of workers that are gone are acknowledged |
      | of workers that leave, are cut off and go on            | 2     | a worker that leaves and is silent is gone while its lease runs |
      | of workers that start again and are cut off             | 0     | orders to an earlier incarnation are taken for void |
      | of workers that start again and are cut off             | 0     | a report that was held back is taken for new |
      | of workers that start again and are cut off             | 49    | a worker that has started again is told to start tasks at once |
      | of workers that start again and are cut off             | 36    | a leave that names no incarnation is taken for one of the newest |
      | of reports that list few ends                           | 0     | each list of ends is taken for whole |
      | of queues that change                                   | 0     | jobs keep the queue of their acceptance |
      | of queues that change                                   | 0     | a queue that is renamed is taken for removed |
      | of queues that change                                   | 0     | any name is taken for a job's ID |
      | of queues that change                                   | 0     | jobs are found in each queue |
      | of queues that change                                   | 0     | stored jobs of any name are placed |

  Scenario Outline: The histories detect that <mechanism>
    When cluster histories are run while <mechanism>
    Then at least one history violates an invariant

    Examples:
      | mechanism                                              |
      | leases are ended early                                 |
      | leadership is not confirmed                            |
      | voters are never replaced                              |
      | silent voters are removed before another one votes     |
      | the end of an earlier run is ignored                   |
      | steps do not wait for earlier ones                     |
      | submissions are answered from the newest configuration |

  Scenario Outline: A crash that leaves only <part> of a write leaves a readable log
    Given a data folder with 2 synced entries
    When 3 outputs are written with one sync and the file holds only <part> of them
    Then the log loads with the 2 synced entries

    Examples:
      | part             |
      | the first third  |
      | the last third   |
      | the middle third |

  Scenario Outline: A request is answered <answer> when <what happened>, through a gateway that <leader>
    Given a gateway that <leader>
    When a job is submitted and <what happened>
    Then the caller is told <answer>
    And the failed attempts are counted as <retries>

    Examples:
      | leader             | what happened                          | answer             | retries           |
      | knows no leader    | no leader is found                     | KEEPER_UNAVAILABLE | none              |
      | knows a leader     | the leader never replies               | PROPOSAL_UNKNOWN   | NO_REPLY          |
      | knows a leader     | the leader says that it does not lead  | KEEPER_UNAVAILABLE | NOT_LEADER        |
      | knows a leader     | the connection ends                    | PROPOSAL_UNKNOWN   | CONNECTION_CLOSED |
      | knows a leader     | the process ends                       | PROPOSAL_UNKNOWN   | none              |
      | knows no leader    | the process ends                       | KEEPER_UNAVAILABLE | none              |
      | knows a leader     | the queue does not exist               | NO_SUCH_QUEUE      | none              |
      | knows a leader     | the queue is gone at a second attempt  | PROPOSAL_UNKNOWN   | CONNECTION_CLOSED |
      | knows a leader     | the leader accepts it                  | accepted           | none              |
      | knows a leader     | the leader fails over and accepts it   | accepted           | CONNECTION_CLOSED |

  Scenario Outline: The next membership when <situation>
    Given a leading keeper with <voters> voters and <situation>
    Then the next membership has voters <next voters> and learners <next learners>

    Examples:
      | voters | situation                                   | next voters | next learners |
      | a      | a candidate b has announced itself          | a           | b             |
      | a      | a learner b is caught up                    | a,b         | -             |
      | a,b,c  | a candidate d has announced itself          | a,b,c       | d             |
      | a,b,c  | b lost its disk and has returned as x       | a,c         | -             |
      | a,b,c  | an announcement of x, which b has replaced, is late | unchanged | unchanged |
      | a,b,c  | b is silent and a learner d is caught up    | a,b,c,d     | -             |
      | a,b,c  | b is silent and nobody can replace it       | unchanged   | unchanged     |
      | a,b,c,d | b is silent and d votes in its place       | a,c,d       | -             |
      | a,b,c,d | b has come back and d votes in its place   | a,b,c       | d             |
      | a,b,c,d | b and c are silent and d votes in the place of b | a,c,d | -             |
      | a,b,c,d | b and c are silent and d has just begun to vote | unchanged | unchanged   |

  Scenario Outline: <count> keepers announce themselves, <kind>
    When <count> keepers announce themselves to the first seed, <kind>
    Then <founders> of them found a quorum

    Examples:
      | count | kind                             | founders |
      | 3     | blank at the first start         | 1        |
      | 3     | blank after a loss of disks      | 0        |
      | 3     | one of them holding a log        | 0        |

  Scenario Outline: A worker <state> is assigned <tasks> of 4 waiting tasks
    Given a cluster of <workers> workers with serving tasks, one of them <state>
    When 4 tasks wait
    Then that worker is assigned <tasks> of them

    Examples:
      | state                        | workers | tasks |
      | on probation                 | 4       | 0     |
      | on trial after probation     | 4       | 1     |
      | on probation with all others | 4       | 1     |

  Scenario Outline: Jobs on a <load> load earn their credit
    When the load <load> is run
    Then urgent jobs earn at least <urgent> of their credit
    And serving tasks are below their target latency for at least <serving> of the time
    And filling jobs earn at least <gain> times what they earn without learned effects

    Examples:
      | load            | urgent | serving | gain |
      | steady          | 0.90   | 0.95    | 1.0  |
      | failing workers | 0.90   | 0.95    | 1.0  |
      | stalled workers | 0.85   | 0.95    | 1.0  |
