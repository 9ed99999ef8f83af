Feature: A report that arrives late is no sign of life
  A report may arrive seconds late, after its worker has crashed. The worker drops the
  answer to a report that took more than a second, so such a report grants no lease.

  # Guards against lasting tasks that are away for longer than a lease, because the last
  # report of a crashed worker arrives late.
  Scenario Outline: A worker crashes, and its last report arrives <late> s late
    Given a worker that runs a lasting task, with a clock that runs at <rate>
    When it crashes, and its last report arrives <late> s late
    Then another worker is told to start the task within <seconds> s of the crash

    Examples:
      | rate | late | seconds |
      | 1.0  | 0.0  | 7.0     |
      | 1.0  | 1.5  | 7.0     |
      | 1.0  | 5.0  | 7.0     |
      | 0.98 | 5.0  | 7.0     |

  # Guards against a live worker whose tasks end, because its clock has stood still.
  Scenario Outline: A worker is suspended for <seconds> s, and its clock stands still
    Given a worker that runs a lasting task, with a clock that runs at 1.0
    When it is suspended for <seconds> s while its clock stands still
    Then it is answered with a lease again before it has counted 5 s

    Examples:
      | seconds |
      | 1.0     |
      | 3.0     |
      | 600.0   |

  Scenario Outline: Reports that were held back for <late> s arrive at once
    Given a worker that runs a lasting task, with a clock that runs at 1.0
    When <count> of its reports arrive at once, the first <late> s late
    Then none of them that is more than 1.2 s late grants a lease

    Examples:
      | late | count |
      | 5.0  | 4     |
      | 5.0  | 12    |

  Scenario Outline: A report arrives <late> s late, and its worker's clock runs at <rate>
    Given a worker that runs a lasting task, with a clock that runs at <rate>
    When one of its reports arrives <late> s late
    Then that report gets an answer <answer>

    Examples:
      | rate | late | answer          |
      | 1.0  | 0.0  | with a lease    |
      | 1.0  | 0.9  | with a lease    |
      | 1.0  | 1.5  | without a lease |
      | 0.98 | 0.0  | with a lease    |
      | 0.98 | 0.9  | with a lease    |
      | 0.98 | 1.5  | without a lease |
      | 0.0  | 1.5  | with a lease    |
