Feature: Tasks that run until they are cancelled are restarted soon
  They may fail at any time, through no fault of their worker, and serve their users all
  the time. Where only one worker has room for them, its probations must not keep them
  waiting.

  # Guards against a task that waits for up to 30 s with room for it, since tasks that
  # last have failed on its worker.
  Scenario Outline: <jobs> lasting jobs fail in turn on one worker, <when>
    Given a worker that runs <jobs> lasting jobs, and no other with room
    When one of them fails every 4 s, <when>, 8 times
    Then each is running again within <seconds> s

    Examples:
      | jobs | when                      | seconds |
      | 1    | 3 s after it is at work   | 1.0     |
      | 2    | 3 s after it is at work   | 1.0     |
      | 3    | 3 s after it is at work   | 1.0     |
      | 1    | before it is at work      | 9.0     |
      | 2    | before it is at work      | 9.0     |
      | 3    | before it is at work      | 9.0     |

  Scenario Outline: A worker on which <tasks> fail is <state> for ordinary tasks
    Given a worker that runs 3 lasting jobs, and no other with room
    When <tasks> fail on it
    Then it is <state> for ordinary tasks

    Examples:
      | tasks                                  | state        |
      | two lasting jobs that were at work     | in use       |
      | two lasting jobs that were starting up | on probation |
      | two ordinary jobs                      | on probation |
