Feature: Filling tasks use what serving tasks leave, and no more

  Scenario Outline: A worker that reports each <interval> ms follows the pace it is given
    Given a worker with a serving task at <tail> ms of 150 ms and a filling task beside it
    When it reports each <interval> ms for 0.5 s and follows a pace 100 ms after it was last told
    Then the filling task goes at less than <pace> percent

    Examples:
      | interval | tail | pace |
      | 60       | 400  | 50   |
      | 90       | 400  | 50   |
      | 400      | 400  | 50   |

  Scenario Outline: A filling task that takes <effect> headroom per worker beside a serving task with <alone>
    Given serving tasks with headroom <alone> and filling tasks that take <effect> per worker
    When the paces are decided
    Then they are <paces> percent

    Examples:
      | alone | effect   | paces  |
      | 4.0   | 1.0      | 100    |
      | 2.15  | 10.0     | 80     |
      | 1.2   | 20.0     | 0      |
      | 2.15  | 10.0,1.0 | 70,100 |
      | 2.15  | 1.0,40.0 | 100,17 |

  Scenario Outline: What a leader has learned is known to the next one
    Given a leader that has learned that an image disturbs another
    When it keeps what it has learned and another keeper takes office from <source>
    Then the new leader knows the effect

    Examples:
      | source       |
      | the log      |
      | a snapshot   |

  Scenario Outline: A paused task on a worker <verdict> other filling tasks
    Given a worker whose processors are claimed by a filling task that is <pace>
    When a filling task that disturbs nobody waits
    Then it is given to <given> worker

    Examples:
      | verdict       | pace          | given |
      | keeps out     | at full pace  | no    |
      | lets in       | paused        | that  |

  Scenario: An image that finds no room keeps out no other of the same size
    Given a worker of 64 cores with a serving task of 13 that one image disturbs much and one not at all
    When a filling task of each image waits, the disturbing one first
    Then only the one that disturbs nobody is given to the worker

  Scenario Outline: A filling task that would disturb everywhere, <age> s after its submission
    Given a worker of <cores> cores with a serving task of 13 that one image disturbs much and one not at all
    When a filling task of the disturbing image has waited for <age> s
    Then it is given to <given> worker

    Examples:
      | cores | age | given |
      | 64    | 1   | no    |
      | 64    | 9   | that  |
      | 24    | 9   | that  |
      | 22    | 9   | no    |

  Scenario Outline: A task that <asks> goes where <gap> cores are free
    Given workers with 4, 9 and 20 cores free
    When an ordinary task of <asks> cores waits
    Then it is given to the worker with <gap> cores free

    Examples:
      | asks | gap |
      | 3    | 4   |
      | 5    | 9   |
      | 14   | 20  |

  Scenario: The leader's log says what the workers hold and what waits
    Given workers with 4, 9 and 20 cores free
    When an ordinary task of 30 cores waits
    Then the load line shows 33 free cores, a largest gap of 20 and 1 ordinary task waiting

  Scenario Outline: A task that has failed <failures> times of <allowed> where only a suspect worker has room
    Given a free worker on which a task has failed and <others> full ones
    When a task waits that has failed <failures> times of <allowed>
    Then it <verdict>

    Examples:
      | failures | allowed | others | verdict                    |
      | 0        | 2       | 3      | goes to the suspect worker |
      | 1        | 3       | 3      | goes to the suspect worker |
      | 1        | 2       | 3      | waits                      |
      | 1        | 2       | 1      | goes to the suspect worker |
