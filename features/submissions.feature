Feature: No submitted job crashes a process
  The scenarios guard against jobs that are too large, random or otherwise invalid
  and that end a process or exhaust it, and against an exception in one request
  that stops the process.

  Scenario Outline: A job with <content> is <verdict>
    Given a job with <content>
    When it is submitted to a process of a cluster
    Then the submission is <verdict>

    Examples:
      | content                                 | verdict   |
      | 1 task                                  | forwarded |
      | 20000 tasks in a step                   | forwarded |
      | 20001 tasks in a step                   | refused   |
      | 20001 tasks in two steps                | refused   |
      | a thousand billion tasks                | refused   |
      | a negative need of processors           | refused   |
      | a negative need of memory               | refused   |
      | a need beyond any worker                | refused   |
      | a negative estimate                     | refused   |
      | a negative number of repetitions        | refused   |
      | occurrences without time between them   | refused   |
      | an occurrence each second               | forwarded |
      | a number that can't be encoded          | refused   |
      | a payload of 65536 bytes                | forwarded |
      | a payload of 65537 bytes                | refused   |

  Scenario: Long overdue occurrences of a job are opened in batches
    Given a leader with a job of 100 tasks, due every millisecond since 1970
    When due occurrences are opened 50 times
    Then at most 20000 of its tasks have been opened

  Scenario: Processes keep running after jobs that no worker could ever run
    Given 3 processes of a cluster with disks and 1 without
    And an operator's configuration and 2 fake workers
    When jobs beyond the limits are submitted to every process
    Then each is refused with 400
    And every process is still running
    When a caller submits a job to the process without a disk
    Then its tasks are all done within 15 seconds

  Scenario: A process keeps running after an exception in a request of another process
    Given a process with a disk that knows no leader
    When handling a request of another process raises an exception
    Then the other process is answered PROPOSAL_UNKNOWN

  Scenario Outline: A leader is sent random jobs and reports, <checks>
    When a leader is sent random jobs and reports with seeds <first> to <last>, <checks>
    Then <outcome>

    Examples:
      | checks         | first | last | outcome                        |
      | validated      | 0     | 29   | none of them crashes it        |
      | not validated  | 0     | 29   | at least one crashes it        |

  # Guards against answers and log entries that grow with the number of tasks.
  Scenario: A leader is sent jobs of many tasks and long strings
    When a leader is sent jobs of many tasks and long strings with seeds 0 to 2
    Then none of them crashes it

  # Guards against a submission that is refused while a copy of it is accepted.
  Scenario Outline: The jobs <jobs> are submitted in this order to a leader that may hold 2
    Given a leader that may hold 2 jobs
    When the jobs <jobs> are submitted before any of them is committed
    Then <held> jobs are held
    And the submissions that are refused are of the jobs <refused>

    Examples:
      | jobs      | held | refused |
      | 1,2       | 2    | none    |
      | 1,2,3     | 2    | 3       |
      | 1,2,1,2   | 2    | none    |
      | 1,2,3,2,3 | 2    | 3,3     |
