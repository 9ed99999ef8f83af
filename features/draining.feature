Feature: Runs that would be lost with a worker that leaves are stopped before, and resume elsewhere
  What runs on a worker when it leaves loses the work since its last checkpoint, and
  starts elsewhere only once the worker's lease has expired. The scenarios guard
  against runs that are lost, or stopped in vain, in planned work.

  Scenario Outline: A <kind> has gone from 10 to <percent> % in <observed> s, and its worker stays <left> s
    Given a worker that runs a <kind> at 10 %
    When it reports <observed> s later that the run is at <percent> % and that it drains for <left> s
    Then its run <event>

    Examples: Too little time is left for another order
      | kind                         | observed | percent | left | event      |
      | task that saves its progress | 1.0      | 20      | 0.6  | is stopped |
      | task that saves its progress | 1.0      | 10      | 0.6  | is stopped |
      | task that saves its progress | 1.0      | 20      | 0.0  | is stopped |
      | task that loses its progress | 1.0      | 20      | 0.6  | is stopped |
      | lasting task                 | 1.0      | 100     | 0.6  | is stopped |
      | lasting task                 | 1.0      | 20      | 0.6  | is stopped |
      | task that saves its progress | 1.0      | 70      | 0.6  | goes on    |
      | task that saves its progress | 1.0      | 90      | 0.0  | goes on    |
      | task that loses its progress | 1.0      | 90      | 0.0  | goes on    |

    Examples: The worker stays for some time
      | kind                         | observed | percent | left | event      |
      | task that saves its progress | 1.0      | 20      | 2.0  | goes on    |
      | lasting task                 | 1.0      | 100     | 2.0  | goes on    |
      | task that loses its progress | 1.0      | 20      | 2.0  | is stopped |
      | task that loses its progress | 1.0      | 30      | 2.0  | is stopped |
      | task that loses its progress | 1.0      | 50      | 2.0  | goes on    |

    Examples: Only its submitter's estimate of 3 s tells how long it goes on
      | kind                         | observed | percent | left | event      |
      | task that loses its progress | 0.2      | 10      | 2.0  | goes on    |
      | task that loses its progress | 0.2      | 10      | 1.0  | is stopped |
      | task that loses its progress | 0.2      | 90      | 0.0  | goes on    |

  Scenario: The runs of a worker that doesn't drain go on
    Given a worker that runs a lasting task at 10 %
    When it reports 1.0 s later that the run is at 100 % and that it doesn't drain
    Then its run goes on

  Scenario Outline: A run is stopped before its worker leaves, and <event>
    Given a worker that runs a task that saves its progress at 10 %
    When it reports 1.0 s later that the run is at 20 % and that it drains for 0.6 s
    And <event>
    Then another worker is told to start it from checkpoint <checkpoint> at <seconds> s

    Examples:
      | event                                       | checkpoint | seconds |
      | its end is listed after 0.3 s               | c2         | 2.5     |
      | its end is listed to a new leader           | c2         | 2.5     |
      | the worker leaves and nothing is listed     | c1         | 8.5     |

  Scenario: An order to stop a run that is lost is sent again
    Given a worker that runs a lasting task at 10 %
    When it reports 1.0 s later that the run is at 100 % and that it drains for 0.6 s
    And it reports 0.3 s later that the run is at 100 %
    Then its run is stopped

  Scenario: The leader's log names the runs that are stopped before a worker leaves
    Given a worker that runs a lasting task at 10 %
    When it reports 1.0 s later that the run is at 100 % and that it drains for 0.6 s
    Then a line names the run, with 600 ms left
