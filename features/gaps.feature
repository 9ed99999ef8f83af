Feature: Long-running tasks leave gaps of free capacity for ordinary tasks
  The leader protects gaps that are as large as recent ordinary tasks need. The
  scenarios guard against long-running tasks that fill every worker, so that no
  large ordinary task fits anywhere.

  Scenario Outline: A long-running task of <asks> cores on a worker with <free> free cores, protected from <least> on
    When a long-running task of <asks> cores is checked against a worker with <free> free cores, protected from <least> on
    Then the free capacity <verdict> protected from it

    Examples:
      | asks | free | least | verdict |
      | 10   | 14   | 8     | is      |
      | 10   | 19   | 8     | is      |
      | 10   | 20   | 8     | is not  |
      | 10   | 11   | 12    | is not  |
      | 10   | 14   | 0     | is not  |

  Scenario Outline: The demand for gaps after <running> running and <waiting> waiting tasks, <later> s later
    Given ordinary tasks of 4, 8, 12 and 16 cores on workers with 1000 cores in total
    When <running> of them run and <waiting> wait, and then none run or wait for <later> s
    Then gaps of <size> cores are needed for <tasks> tasks

    Examples:
      | running | waiting | later | size | tasks |
      | 3       | 2       | 0     | 12   | 5     |
      | 3       | 2       | 7     | 12   | 2     |
      | 20      | 20      | 0     | 12   | 8     |
      | 0       | 0       | 0     | 12   | 0     |

  Scenario Outline: <tasks> long-running tasks, one of which <history>, where only gaps are free, <later> s after ordinary tasks used them
    Given 4 workers with a gap of 13 cores each, used by 4 ordinary tasks
    When those tasks end and <tasks> long-running tasks of 12 cores, one of which <history>, wait for <later> s
    Then <given> of them are assigned, first the one that has run before

    Examples:
      | tasks | history              | later | given |
      | 1     | never ran            | 0.5   | 0     |
      | 1     | never ran            | 8     | 1     |
      | 1     | failed after a while | 0.5   | 1     |
      | 3     | failed after a while | 0.5   | 1     |

  Scenario Outline: Large urgent tasks beside long-running ones, seed <seed>
    When the load large is run with seed <seed>, with and without protected gaps
    Then urgent jobs earn at least 1.2 times as much credit with protected gaps
    And moves of serving tasks don't cost urgent jobs any of it
    And with protected gaps no kind of job gets less than half of the mean share

    Examples:
      | seed |
      | 1    |

  Scenario Outline: The largest urgent jobs on a <load> load
    When the load <load> is run with seeds 0 to 5
    Then the largest tenth of the urgent jobs earns at least half of the mean share
    And the next largest fifth earns at least half of the mean share

    Examples:
      | load  |
      | wide  |
      | large |
