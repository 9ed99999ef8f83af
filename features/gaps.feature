Feature: Lasting tasks leave room for tasks that need it for a moment

  Scenario Outline: A lasting task of <asks> cores on a worker with <free> free, of which <least> are of use
    When a lasting task of <asks> cores meets a worker with <free> cores free, kept from <least> on
    Then the room <verdict> kept from it

    Examples:
      | asks | free | least | verdict |
      | 10   | 14   | 8     | is      |
      | 10   | 19   | 8     | is      |
      | 10   | 20   | 8     | is not  |
      | 10   | 11   | 12    | is not  |
      | 10   | 14   | 0     | is not  |

  Scenario Outline: The need of gaps after <running> running and <waiting> waiting tasks, <later> s later
    Given ordinary tasks of 4, 8, 12 and 16 cores on workers of 1000 cores in all
    When <running> of them run and <waiting> wait, and none do for <later> s
    Then gaps of <size> cores are kept for <tasks> tasks

    Examples:
      | running | waiting | later | size | tasks |
      | 3       | 2       | 0     | 12   | 5     |
      | 3       | 2       | 7     | 12   | 2     |
      | 20      | 20      | 0     | 12   | 8     |
      | 0       | 0       | 0     | 12   | 0     |

  Scenario Outline: <tasks> lasting tasks of which one <history> find only gaps, <later> s after ordinary tasks needed them
    Given 4 workers with a gap of 13 cores each, which 4 ordinary tasks need
    When those tasks end and <tasks> lasting tasks of 12 cores, of which one <history>, wait for <later> s
    Then <given> of them are given room, the one that has run first

    Examples:
      | tasks | history              | later | given |
      | 1     | never ran            | 0.5   | 0     |
      | 1     | never ran            | 8     | 1     |
      | 1     | failed after a while | 0.5   | 1     |
      | 3     | failed after a while | 0.5   | 1     |

  Scenario Outline: Callers of large urgent tasks beside lasting ones, seed <seed>
    When the load large is played with seed <seed>, with and without keeping gaps
    Then urgent jobs earn at least 1.2 times as much with gaps kept
    And with gaps kept no kind gets less than half of what all get

    Examples:
      | seed |
      | 1    |

  Scenario Outline: The largest urgent jobs on a <load> load
    When the load <load> is played with seeds 0 to 5
    Then the largest tenth of the urgent jobs earns at least half as much as all
    And the fifth below it earns at least half as much as all

    Examples:
      | load  |
      | wide  |
      | large |
