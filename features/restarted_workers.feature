Feature: A worker starts again under its id while messages of its earlier incarnation are on their way
  An answer is valid for a second after its report was sent, and may be taken by the
  next incarnation. A leave need not name the incarnation that sent it. The
  scenarios guard against a task that runs twice at once.

  Scenario: A worker that has started again and is cut off carries out an order to its earlier incarnation
    Given a worker that was told to start a task and has crashed
    When it starts again, takes the order after 0.3 s and is cut off
    Then another worker starts the task within 7.5 s of the order, once the first run has ended

  Scenario Outline: A worker that has started again <state>, and <event>
    Given a worker that was told to start a task and has crashed
    When it starts again, <state>, and <event>
    Then another worker starts the task within <seconds> s of the order, once the first run has ended

    Examples:
      | state                                    | event                    | seconds |
      | takes the order after 0.3 s              | goes on reporting        | 3.0     |
      | takes the order after 0.3 s              | is cut off after 0.4 s   | 8.0     |
      | takes the order after 0.3 s              | is cut off after 1.0 s   | 9.0     |
      | takes the order after 0.3 s              | the leader changes       | 9.0     |
      | takes the order before its first report  | goes on reporting        | 3.0     |
      | takes the order before its first report  | is cut off after 0.1 s   | 7.5     |
      | takes the order after 0.3 s              | its reports from then on are held back for 3 s | 10.5 |
      | takes the order after 0.3 s              | goes on reporting without its clock | 4.0 |
      | never takes the order                    | goes on reporting        | 3.0     |
      | never takes the order                    | is cut off after 0.1 s   | 8.0     |
      | never takes the order                    | the leader changes       | 9.0     |
      | never takes the order                    | starts again after 0.2 s | 3.5     |
      | takes the order after 0.3 s              | starts again after 0.2 s | 3.5     |

  Scenario: The run of an incarnation that has reported it is started elsewhere at once
    Given a worker that has reported the task it was told to start and has crashed
    When it starts again, never takes the order, and goes on reporting
    Then another worker starts the task within 1.0 s of the order, once the first run has ended

  # Guards against an end that is forgotten before it is committed: an answer to the
  # earlier incarnation acknowledges the next one's ends by their numbers.
  Scenario: A worker that has started again gets no task while an answer to its earlier incarnation is valid
    Given a worker that was answered at 0.2 s and has crashed
    When it starts again at 0.5 s, and a task waits for it
    Then it is told to start the task between 1.2 s and 1.5 s

  Scenario Outline: A heartbeat on the platform whose clock_ms is <value>
    When a heartbeat arrives whose clock_ms is <value>
    Then the clock of the report is <clock>

    Examples:
      | value    | clock   |
      | 482113   | 482113  |
      | 482113.5 | 482113  |
      | missing  | 0       |
      | "soon"   | refused |

  Scenario Outline: The leave of an earlier incarnation arrives at <leader> while its worker is cut off
    Given a worker that has restarted as incarnation 2 and runs a task
    When it is cut off, and a leave of incarnation 1 that names none arrives at <leader>
    Then the task is started elsewhere once the worker's lease has expired

    Examples:
      | leader       |
      | its leader   |
      | a new leader |
