Feature: A planning round checks waiting tasks only against workers that have changed
  A planner that caches failed searches must assign the same tasks as one that
  doesn't. The scenarios guard against a waiting task that is not considered again
  after a worker has changed, and against a search of all workers in each round.

  Scenario Outline: A round on a <load> load leaves no task waiting that would fit, seed <seed>
    When the load <load> is run with seed <seed>, and each round is planned again by a planner without cached searches
    Then the second planner never assigns an ordinary or serving task

    Examples:
      | load            | seed |
      | steady          | 3    |
      | burst           | 4    |
      | overload        | 5    |

  Scenario Outline: A waiting step that fits on no worker is assigned to <worker> when <event>
    Given 3 full workers and a waiting step of 1 task
    When <event>
    Then the task is assigned to <worker>

    Examples:
      | event                          | worker |
      | a run on w1 ends               | w1     |
      | an empty worker w3 joins       | w3     |
      | w2 has restarted               | w2     |
      | nothing has changed            | nobody |
      | an empty worker w3 is draining | nobody |

  Scenario Outline: <workers> full workers, of which <reported> have reported since the last round
    Given <workers> full workers and 20 waiting steps of different sizes
    When <reported> of them report and a round is planned
    Then at most <checks> worker checks are made

    Examples:
      | workers | reported | checks |
      | 24      | 0        | 0      |
      | 24      | 2        | 40     |
      | 1000    | 0        | 0      |
      | 1000    | 2        | 40     |

  Scenario: A task that fits on no full worker rules out larger tasks of the same kind
    Given 50 full workers
    When steps of 2, 3, 4 and 5 cores wait and a round is planned
    Then at most 50 worker checks are made
