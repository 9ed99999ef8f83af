Feature: What a caller submits can't take a process down

  Scenario Outline: A job with <content> is <verdict>
    Given a job with <content>
    When it is handed to a process of a cluster
    Then the submission is <verdict>

    Examples:
      | content                                 | verdict |
      | 1 task                                  | sent on |
      | 20000 tasks in a step                   | sent on |
      | 20001 tasks in a step                   | refused |
      | 20001 tasks in two steps                | refused |
      | a thousand billion tasks                | refused |
      | a negative need of processors           | refused |
      | a negative need of memory               | refused |
      | a need beyond any worker                | refused |
      | a negative estimate                     | refused |
      | a negative number of repetitions        | refused |
      | occurrences without time between them   | refused |
      | an occurrence each second               | sent on |
      | a number that can't be encoded          | refused |

  Scenario: Occurrences that are long overdue begin a few at a time
    Given a leader with a job of 100 tasks, due each millisecond since 1970
    When occurrences are begun 50 times
    Then at most 20000 of its tasks have begun

  Scenario: Processes go on after jobs that no worker could ever run
    Given 3 processes of a cluster with disks and 1 without
    And an operator's configuration and 2 fake workers
    When jobs beyond all bounds are handed to every process
    Then each is refused with 400
    And every process is still there
    When a caller submits a job to the process without a disk
    Then its tasks are all done within 15 seconds

  Scenario: A leader goes on after a request of another process that it fails on
    Given a process with a disk that knows no leader
    When another process asks it for something that it fails on
    Then the other process is told PROPOSAL_UNKNOWN

  Scenario Outline: A leader is sent random jobs and reports, <checks>
    When a leader is sent random jobs and reports with seeds <first> to <last>, <checks>
    Then <outcome>

    Examples:
      | checks         | first | last | outcome                        |
      | checked        | 0     | 29   | it fails on none of them       |
      | left unchecked | 0     | 29   | it fails on at least one       |
