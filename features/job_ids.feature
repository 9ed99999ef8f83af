Feature: A path that names no job is refused, and no stored job ends a leader
  Prefixes of queues may begin with each other, and queues are added, removed,
  renamed and moved. What follows the prefix of a removed queue must not become the
  name of a job of another one.

  # Guards against a job of a removed queue that is accepted by another one, under a
  # name that no leader can handle.
  Scenario Outline: The queues are <queues>, and the path <path> is sent to <request> a job
    Given a leader whose jobs have IDs of 16 hexadecimal digits, and the queues <queues>
    When the path <path> is sent to <request> a job
    Then that is answered <answer>

    Examples: A queue beside one whose prefix begins with its own
      | queues       | request | path                      | answer        |
      | /a/ /a/v1.2/ | submit  | /a/v1.2/00000000000000a1  | Accepted      |
      | /a/          | submit  | /a/v1.2/00000000000000a1  | NO_SUCH_QUEUE |
      | /a/          | show    | /a/v1.2/00000000000000a1  | NO_SUCH_QUEUE |
      | /a/          | cancel  | /a/v1.2/00000000000000a1  | NO_SUCH_QUEUE |
      | /a/          | show    | /a/v1.2/                  | NO_SUCH_QUEUE |
      | /a/          | show    | /a/                       | QueueView     |
      | /a/v1.2/     | submit  | /a/00000000000000a1       | NO_SUCH_QUEUE |
      | /a/          | submit  | /a/v1-2/00000000000000a1  | NO_SUCH_QUEUE |

    Examples: Prefixes that don't end with a slash
      | queues | request | path                 | answer        |
      | /a /ab | submit  | /ab00000000000000a1  | Accepted      |
      | /a     | submit  | /ab00000000000000a1  | NO_SUCH_QUEUE |
      | /a /ab | submit  | /a00000000000000a1   | Accepted      |
      | /a /ab | submit  | /ab0000000000000a1   | NO_SUCH_QUEUE |
      | /a     | submit  | /ab0000000000000a1   | Accepted      |
      | /a /ab | show    | /ab                  | QueueView     |

    Examples: The same path under two hosts
      | queues        | request | path                       | answer        |
      | h:/a/ o:/a/b/ | submit  | o:/a/b/00000000000000a1    | Accepted      |
      | h:/a/ o:/a/b/ | submit  | h:/a/b/00000000000000a1    | NO_SUCH_QUEUE |
      | h:/a/ o:/a/b/ | submit  | o:/a/00000000000000a1      | NO_SUCH_QUEUE |

    Examples: Names that are no ID
      | queues | request | path                   | answer        |
      | /a/    | submit  | /a/x                   | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/a/b                 | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/..                  | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/%00                 | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/00000000000000a     | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/00000000000000a10   | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/0000000.0.0.0.a1    | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/00000000000000g1    | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/00000000000000٣1    | NO_SUCH_QUEUE |
      | /a/    | submit  | /a/00000000000000AF    | Accepted      |
      | /a/    | show    | /a/00000000000000a1    | NO_SUCH_JOB   |
      | /a/    | cancel  | /a/00000000000000a1    | NO_SUCH_JOB   |

  Scenario Outline: A job whose queue is <change> is answered <answer>
    Given a leader whose jobs have IDs of 16 hexadecimal digits, and the queues /a/ /a/v1.2/
    When the path /a/v1.2/00000000000000a1 is sent to submit a job
    And the queues are changed to <queues>
    And the path <path> is sent to show a job
    Then that is answered <answer>

    Examples:
      | change           | queues           | path                     | answer        |
      | removed          | /a/              | /a/v1.2/00000000000000a1 | NO_SUCH_QUEUE |
      | kept             | /a/v1.2/         | /a/v1.2/00000000000000a1 | JobView       |
      | beside a new one | /a/ /a/v1.2/ /b/ | /a/v1.2/00000000000000a1 | JobView       |

  # Guards against a job that isn't known any more, since its queue has another name.
  Scenario Outline: The queue of <state> job is <change>, and the job is asked for
    Given a leader whose jobs have IDs of 16 hexadecimal digits, and the queues /a/
    When the path /a/00000000000000a1 is sent to submit a job
    And <state> job is ended if it is to be, and its queue is <change>
    And the path /a/00000000000000a1 is sent to show a job
    Then that is answered JobView

    Examples:
      | state     | change                         |
      | an active | renamed                        |
      | an ended  | renamed                        |
      | an active | removed and added under a name |
      | an ended  | removed and added under a name |

  # Guards against a job that never runs, since its ID is that of another queue's job,
  # and against a caller who cancels the job of another queue.
  Scenario Outline: A job of <queue> has an ID, and <path> is sent to <request> a job <when>
    Given a leader whose jobs have IDs of 16 hexadecimal digits, and the queues /a/ /b/
    When the path <queue>00000000000000a1 is sent to submit a job
    And <path> is sent to <request> a job <when>
    Then that is answered <answer>
    And the job 00000000000000a1 is active, of the queue <queue>

    Examples:
      | queue | path                  | request | when       | answer      |
      | /a/   | /a/00000000000000a1   | submit  | afterwards | Accepted    |
      | /a/   | /b/00000000000000a1   | submit  | afterwards | KEY_REUSED  |
      | /a/   | /b/00000000000000a1   | show    | afterwards | NO_SUCH_JOB |
      | /a/   | /b/00000000000000a1   | cancel  | afterwards | NO_SUCH_JOB |
      | /a/   | /b/00000000000000a1   | submit  | before the first one is committed | KEY_REUSED |
      | /a/   | /b/00000000000000a1   | cancel  | before the first one is committed | NO_SUCH_JOB |

  # Guards against a caller who can't reach a job under the path that it was sent to.
  Scenario Outline: Two queues exchange their names, and a caller sends to <request> a job where it was submitted
    Given a leader whose jobs have IDs of 16 hexadecimal digits, and the queues /a/ /b/
    When the path /a/00000000000000a1 is sent to submit a job
    And the queues exchange their names
    And the path /a/00000000000000a1 is sent to <request> a job
    Then that is answered <answer>

    Examples:
      | request | answer   |
      | show    | JobView  |
      | cancel  | Accepted |
      | submit  | Accepted |

  Scenario Outline: Where the settings prescribe no digits, the name <name> is answered <answer>
    Given a leader whose jobs have IDs of 0 hexadecimal digits, and the queues /a/
    When the path /a/<name> is sent to submit a job
    Then that is answered <answer>

    Examples:
      | name      | answer        |
      | invoice-7 | Accepted      |
      | a_B9      | Accepted      |
      | a.b       | NO_SUCH_QUEUE |
      | a/b       | NO_SUCH_QUEUE |
      | a b       | NO_SUCH_QUEUE |

  # Guards against a stored job that ends each process that leads.
  Scenario Outline: A leader starts with a <job> named <name> in <place>
    Given a leader that starts with a <job> named <name> in <place>
    When another job is submitted to it
    Then the other job's task is started
    And the job named <name> is <phase>, and none of its tasks was started

    Examples:
      | job       | name                  | place        | phase     |
      | job       | v1.2/00000000000000a1 | its log      | CANCELLED |
      | job       | v1.2/00000000000000a1 | its snapshot | CANCELLED |
      | job       | ....                  | its log      | CANCELLED |
      | job       | 0.0.0.0               | its snapshot | CANCELLED |
      | gang      | v1.2/00000000000000a1 | its log      | CANCELLED |
      | timed job | v1.2/00000000000000a1 | its log      | CANCELLED |
      | timed job | v1.2/00000000000000a1 | its snapshot | CANCELLED |

  # Guards against a job that was accepted under such a name and can't be cancelled.
  Scenario Outline: A leader starts with a job named <name>, and it is sent to <request> the job
    Given a leader that starts with a job named <name> in its snapshot
    When its callers send <request> for the job named <name>
    Then that is answered <answer>

    Examples:
      | name                  | request | answer   |
      | x                     | show    | JobView  |
      | x                     | cancel  | Accepted |
      | x                     | submit  | Accepted |
      | a/b                   | cancel  | Accepted |
      | v1.2/00000000000000a1 | show    | JobView  |

  Scenario: Processes start on a disk that holds such a job
    Given a disk that holds a job named v1.2/00000000000000a1
    And 3 processes of a cluster with that disk and two others, and 1 without
    And an operator's configuration and 2 fake workers
    When a caller submits a job to the process without a disk
    Then its tasks are all done within 15 seconds
    And every process is still running
