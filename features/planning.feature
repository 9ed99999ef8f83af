Feature: Waiting tasks are planned again only where something has changed

  Scenario Outline: A round on a <load> load leaves nothing waiting that fits, seed <seed>
    When the load <load> is planned with seed <seed>, and each round again by a planner without a memory
    Then the second planner never finds room for an ordinary or serving task

    Examples:
      | load            | seed |
      | steady          | 3    |
      | burst           | 4    |
      | overload        | 5    |

  Scenario Outline: A step that found no room is placed once <event>
    Given 3 full workers and a step of 1 task that waits
    When <event>
    Then the task is given to <worker>

    Examples:
      | event                          | worker |
      | a run on w1 ends               | w1     |
      | an empty worker w3 joins       | w3     |
      | w2 is born again               | w2     |
      | nothing has changed            | nobody |
      | an empty worker w3 is draining | nobody |

  Scenario Outline: <workers> full workers, of which <reported> have reported since the last round
    Given <workers> full workers and 20 steps of different sizes that wait
    When <reported> of them report and a round is planned
    Then at most <looks> looks at workers are taken

    Examples:
      | workers | reported | looks |
      | 24      | 0        | 0     |
      | 24      | 2        | 40    |
      | 1000    | 0        | 0     |
      | 1000    | 2        | 40    |

  Scenario: A task that fits on no full worker rules out larger ones of its kind
    Given 50 full workers
    When steps of 2, 3, 4 and 5 cores wait and a round is planned
    Then at most 50 looks at workers are taken
