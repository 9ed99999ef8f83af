Feature: Work that waits follows its queue
  A queue may be sent to another service, moved to another path, renamed, removed and
  added again while jobs of it wait or run. Waiting tasks go where the newest
  definition of the queue sends them, running ones go on where they are.

  # Guards against a job that waits for ever for a service that its queue no longer uses.
  Scenario Outline: A queue is <change> while <work> waits
    Given a queue of service s, and <work> of it that waits
    When the queue is <change>
    Then all its tasks are started on the worker of service <service>

    Examples: Each kind of work
      | change              | work               | service |
      | sent to t           | an ordinary task   | t       |
      | sent to t           | a gang             | t       |
      | sent to t           | a colocated step   | t       |
      | sent to t           | a lasting task     | t       |
      | sent to t           | a filling task     | t       |
      | sent to t           | a step with a limit per worker | t |
      | sent to t           | a job of two steps | t       |
      | removed             | an ordinary task   | s       |
      | removed             | a gang             | s       |
      | removed             | a lasting task     | s       |

    Examples: Each change, one version after the other
      | change                                  | work             | service |
      | kept                                    | an ordinary task | s       |
      | sent to t, sent to s                    | a gang           | s       |
      | sent to t, removed                      | an ordinary task | t       |
      | removed, added with t                   | an ordinary task | t       |
      | removed, kept, added with t             | a lasting task   | t       |
      | sent to t, removed, added with s        | an ordinary task | s       |
      | renamed                                 | an ordinary task | s       |
      | renamed, sent to t                      | an ordinary task | t       |
      | renamed, sent to t, removed             | a gang           | t       |
      | moved                                   | an ordinary task | s       |
      | moved, sent to t                        | a gang           | t       |
      | renamed, moved, sent to t               | an ordinary task | t       |
      | renamed, another takes its name with t  | an ordinary task | s       |
      | moved, another takes its path with t    | an ordinary task | s       |

  Scenario Outline: The leader changes <when> a queue is sent to another service, with a snapshot of <version>
    Given a queue of service s, and an ordinary task of it that waits
    When the leader changes <when> the queue is sent to t, with a snapshot of <version>
    Then all its tasks are started on the worker of service t

    Examples:
      | when   | version         |
      | before | this version    |
      | after  | this version    |
      | before | earlier version |
      | after  | earlier version |

  Scenario: A queue is sent to another service before a submission to it is applied
    Given a queue of service s, and nothing of it that waits
    When the queue is sent to t
    And a submission that was proposed before is applied
    Then all its tasks are started on the worker of service t

  Scenario Outline: A queue is sent to another service while <work> runs
    Given a queue of service s, and <work> of it that runs
    When the queue is sent to t
    Then it goes on
    When <event>
    Then all its tasks are started on the worker of service t

    Examples:
      | work             | event                 |
      | an ordinary task | its worker is lost    |
      | a lasting task   | its worker is lost    |
      | a gang           | its worker is lost    |
      | a gang           | its run is broken     |
      | a colocated step | its worker is lost    |

  Scenario: A part of a colocated step runs when its queue is sent to another service
    Given a queue of service s, and a colocated step of it of which a part runs
    When the queue is sent to t
    Then the other part is started on the worker of service t

  # Which definition of the queue counts for what.
  Scenario Outline: The priority of a queue changes while a job of it waits
    Given jobs of the queues q and r that wait, with priorities <before>
    When the priorities become <after>
    Then the job of <first> is started first

    Examples:
      | before | after | first |
      | 0 1    | 0 1   | q     |
      | 0 1    | 2 1   | r     |
      | 1 0    | 1 0   | r     |
      | 1 0    | 1 2   | q     |

  Scenario Outline: The stretch and target of a queue change while a job of it waits
    Given jobs of the queues q and r that wait, with targets of <before> ms
    When the targets become <after> ms, and 3 s pass
    Then the job of <first> is started first

    Examples:
      | before      | after       | first |
      | 10000 10000 | 10000 10000 | q     |
      | 10000 10000 | 100 10000   | r     |
      | 10000 100   | 100 10000   | r     |

  Scenario Outline: A queue allows <before> attempts, then <after>
    Given a queue that allows <before> attempts, and a job of it
    When it allows <after> attempts and the job's task fails <failures> times
    Then that job is <phase>

    Examples:
      | before | after | failures | phase  |
      | 2      | 1     | 1        | ACTIVE |
      | 2      | 1     | 2        | FAILED |
      | 2      | 5     | 2        | FAILED |

  Scenario Outline: A queue is <change>, and the waiting jobs of <name> are counted
    Given a queue of service s, and an ordinary task of it that waits
    When the queue is <change>
    Then <count> jobs of <name> wait

    Examples:
      | change    | name | count |
      | kept      | q    | 1     |
      | sent to t | q    | 1     |
      | renamed   | q2   | 1     |
      | renamed   | q    | 0     |

  Scenario Outline: Two queues have the same name, and that of <changed> is sent to t
    Given jobs of two queues of service s that are both named q
    When the queue of <changed> is sent to t
    Then the job of <changed> is started on t, and the other one on s

    Examples:
      | changed |
      | /q/     |
      | /r/     |
