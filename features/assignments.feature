Feature: No way to assign a task exceeds the limits of its step and its worker
  An assignment is planned while earlier ones await their commit and while runs
  that are no longer wanted are being stopped. The scenarios guard against
  assignments that are checked against committed commands only.

  # Guards against two tasks of a step on one worker: a pending assignment didn't count.
  Scenario: A task has stopped to move while the assignment of another one of its step awaits its commit
    Given a task that is to move to a worker, and another task of its step
    When the other one loses its worker and is planned, and the first one has stopped before that is committed
    Then each task is planned once, and for a worker of its own

  # Guards against two tasks of a step on one worker: a proposed move was given up.
  Scenario: The commit of a moved task's assignment takes longer than a move may
    Given a task that is to move to a worker, and another task of its step
    When the commit of its assignment takes longer than a move may, and the other one loses its worker meanwhile
    Then each task is planned once, and for a worker of its own

  # Guards against a task on a worker that became another kind after the move began.
  Scenario Outline: The worker that a task is to move to restarts <how>
    Given a task that needs a label and is to move to a worker
    When that worker restarts <how> before the task has stopped
    Then the task is planned for <worker>

    Examples:
      | how                                 | worker |
      | with all it had                     | w1     |
      | in another service                  | w3     |
      | without the label                   | w3     |
      | in another service with little room | w3     |

  # Guards against a worker beyond its capacity: a pending assignment didn't count.
  Scenario: Two tasks change places while an assignment to one of the workers awaits its commit
    Given two tasks that are to change places, on full workers
    When an assignment to one of them awaits its commit, and the task that is to move there has stopped
    Then the task is not planned before the other one has stopped

  # Guards against two tasks of a step on one worker: unwanted runs didn't count.
  Scenario Outline: A run is no longer wanted, because <event>
    Given a worker that runs a task of a step with a limit of 1 per worker
    When <event>, and the worker still reports the run
    Then no task of the step is planned for the worker until the run has stopped

    Examples:
      | event                                         |
      | an earlier run of the task has ended as done  |
      | the worker was taken to be gone               |

  # Guards against two tasks of a step on one worker: a snapshot forgot unwanted runs.
  Scenario: A new leader that has started from a snapshot hasn't heard of an unwanted run yet
    Given a worker that was told to start a task of a step with a limit of 1 per worker
    When an earlier run of the task ends as done, and a leader starts from a snapshot
    Then no task of the step is planned for the worker until the run has stopped

  # Guards against a task that runs twice on a worker, and a worker beyond its capacity.
  Scenario Outline: A run that the state has ended goes on, and <what> is to be planned for its worker
    Given a worker of 16 cores that runs a task of 10 cores
    When the state ends the run, but the worker still reports it
    And <what> is to be planned for its worker
    Then nothing is started on the worker until the run has stopped

    Examples:
      | what                   |
      | the same task          |
      | another task of 8 cores |

  # Guards against a serving task that is stopped long after its move was given up.
  Scenario: A move is given up before its task has been told to stop
    Given a task that is to move to a worker, and another task of its step
    When its worker is silent for longer than a move may take
    Then the task is no longer told to stop

  # Guards against two tasks of a step that are stopped at the same time.
  Scenario: A move is given up while its task may be stopping
    Given two tasks of a step, of which one is to move
    When its worker learns of the order just before the move is given up
    Then no other task of the step is told to stop before it has stopped

  Scenario Outline: The log of a leader that runs a step <kind>
    Given a leader and a worker that has run a step <kind> to its end
    Then its log has <assigned> lines on assignments and <ended> on ends without a failure

    Examples:
      | kind                       | assigned | ended |
      | with a limit per worker    | 1        | 1     |
      | that may run on any worker | 0        | 0     |

  # The histories contain the conditions above: slow commits, moves, workers that
  # restart as another kind, drain and leave, and runs that take time to stop.
  Scenario Outline: Tasks that may not run on every worker, seeds <first> to <last>
    When cluster histories <first> to <last> of tasks that may not run on every worker are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 39   |
      | 69    | 90   |

  Scenario Outline: Gangs that may not run on every worker, seeds <first> to <last>
    When cluster histories <first> to <last> of gangs that may not run on every worker are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 9    |

  Scenario Outline: Runs succeed while they are started elsewhere, seeds <first> to <last>
    When cluster histories <first> to <last> of runs that succeed while they are started elsewhere are run
    Then no history violates an invariant

    Examples:
      | first | last |
      | 0     | 29   |

  Scenario Outline: The histories <kind> detect that <mechanism>
    When cluster histories <kind> are run from seed <first> on while <mechanism>
    Then at least one history violates an invariant

    Examples:
      | kind                                                | first | mechanism                                               |
      | of tasks that may not run on every worker           | 0     | only applied assignments count for the limit per worker |
      | of tasks that may not run on every worker           | 18    | the limits are not checked when a task is assigned      |
      | of runs that succeed while they are started elsewhere | 9     | runs that are no longer wanted do not count             |
