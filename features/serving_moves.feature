Feature: Serving tasks move so that filling tasks find more idle processors
  Each serving image on a worker keeps out the filling images that slow it
  strongly. The scenarios guard against workers that mix images for long, and
  against moves that take more of a service away than its owner allows.

  # A worker is written as the images of its serving tasks and its free cores.
  # Each task requests 4 cores.
  Scenario Outline: On workers with <workers>, where <alike> bear the same filling images
    Given workers with the serving tasks <workers>
    When the best move from the first is sought, where <alike> bear the same filling images
    Then the plan is <plan>

    Examples:
      | workers       | alike    | plan            |
      | aaab+0 bb+4   | no two   | b0>1            |
      | aaab+0 bb+3   | no two   | nothing         |
      | aaab+0 bbba+0 | no two   | b0>1 a1>0       |
      | aaab+0 bbba+0 | a and b  | nothing         |
      | aaab+0 bbbb+0 | no two   | nothing         |
      | aaaa+0 bbbb+8 | no two   | nothing         |
      | aaab+0 cccb+4 | b and c  | b0>1            |

  Scenario Outline: A serving task of another image than its neighbours, if <condition>
    Given a worker with 3 serving tasks of one image and 1 of another, and a worker with room beside 2 tasks of the other
    And <condition>
    When moves are due
    Then <count> tasks are ordered to stop

    Examples:
      | condition                          | count |
      | all tasks are at work              | 1     |
      | another task of its job waits      | 0     |
      | another task of its job is starting | 0    |
      | its job must not lose a task       | 0     |
      | no filling task has run            | 0     |
      | the other worker is draining       | 0     |
      | the other worker serves another service | 0 |
      | the other worker is at the limit of its step | 0 |

  Scenario Outline: A serving task that has stopped to move, and <event>
    Given a worker with 3 serving tasks of one image and 1 of another, and a worker with room beside 2 tasks of the other
    And another task of its job on a worker of its own, and one with room
    When a task has stopped to move and <event>
    Then it is assigned to <worker>

    Examples:
      | event                           | worker |
      | nothing else happens            | w1     |
      | its new worker drains           | w3     |
      | its new worker is silent        | w3     |
      | its job is cancelled            | nobody |
      | the other task was put there    | w2     |

  # Guards against a serving task that is stopped although it is at work.
  Scenario: A serving task that stalled at its start becomes ready before it has been stopped
    Given a worker with 3 serving tasks of one image and 1 of another, and a worker with room beside 2 tasks of the other
    And its job must not lose a task
    When the task has stalled and the order to stop it is lost
    And it becomes ready
    Then the task at work is not told to stop

  Scenario: The leader's log shows how many serving images share a worker
    Given a worker with 3 serving tasks of one image and 1 of another, and a worker with room beside 2 tasks of the other
    And all tasks are at work
    When the load is logged
    Then it shows 1.5 images per worker

  Scenario: Filling jobs beside serving tasks of several images on each worker
    When the load dense is run with seeds 0 to 5, with and without moves of serving tasks
    Then filling jobs earn more credit with moves
    And urgent jobs earn at least 0.95 times as much credit with moves
    And serving tasks are within their target for at least as long with moves
