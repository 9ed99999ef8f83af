Feature: A run that a report doesn't list may have ended without being listed yet
  A report lists a limited number of ends, the others follow once those have been
  acknowledged. A run that such a report lists neither as running nor as ended is not
  known to be over, nor to have not been started.

  Scenario Outline: A heartbeat with <ends> ends <says>
    When a heartbeat with <ends> ends is decoded for its list
    Then it says that <says>

    Examples:
      | ends | says                 |
      | 0    | it lists all ends    |
      | 1    | it lists all ends    |
      | 499  | it lists all ends    |
      | 500  | more ends may follow |

  # Guards against tasks that start again although they are done, since their ends
  # don't fit in one report of a draining worker.
  Scenario Outline: <ends> tasks end at the same time on a worker that is <state>
    Given a leader, and a worker that runs <ends> tasks beside an idle one
    When they all end while the worker is <state>
    Then none of them is started again
    And all are done after at most <reports> reports

    Examples:
      | ends | state    | reports |
      | 1    | draining | 3       |
      | 499  | draining | 3       |
      | 500  | draining | 4       |
      | 501  | draining | 4       |
      | 1600 | draining | 6       |
      | 499  | ready    | 3       |
      | 500  | ready    | 4       |
      | 501  | ready    | 4       |
      | 1600 | ready    | 6       |

  # Guards against the same at the next incarnation of a worker, which has taken the
  # orders to the earlier one.
  Scenario Outline: A worker that has started again ends <ends> tasks of its earlier incarnation
    Given a leader, and a worker that is told to start <ends> tasks beside an idle one
    When its next incarnation takes the order and all tasks end there
    Then none of them is started again
    And all are done after at most <reports> reports

    Examples:
      | ends | reports |
      | 499  | 3       |
      | 501  | 4       |
      | 1600 | 6       |

  # Guards against tasks that wait on a worker which is told to start nothing.
  Scenario Outline: A job is submitted while a worker has <ends> ends to list
    Given a leader, and a worker that runs <ends> tasks beside an idle one
    When they all end, and a job of 20 tasks is submitted after the first report
    Then the tasks of that job are assigned to <workers>

    Examples:
      | ends | workers        |
      | 499  | either worker  |
      | 1600 | the idle one   |

  Scenario: A task that a draining worker has never started waits until it lists all ends
    Given a leader, and a worker that runs 501 tasks beside an idle one
    And another task that the worker has not been told of
    When they all end while the worker is draining
    Then that task is started on the idle one, once the worker has listed all ends
