Feature: Requests reach the leader over slow links, and while it changes

  Scenario Outline: A process <kind> that learns of its leader only after <request> was asked
    Given a process <kind> that knows no leader
    When <request> is asked there and the process learns who leads
    Then <request> is <outcome>

    Examples:
      | kind           | request                | outcome                   |
      | without a disk | a new configuration    | sent on to the leader     |
      | without a disk | the configuration held | sent on to the leader     |
      | without a disk | a job's state          | passed on by the process  |
      | with a disk    | a new configuration    | passed on by the process  |
      | with a disk    | the configuration held | passed on by the process  |

  Scenario Outline: A job of <size> KB through a process whose link takes <rate> KB/s
    Given a process whose link to the leader takes <rate> KB/s
    When a caller submits a job of <size> KB there
    Then the caller is answered in time that the job is accepted
    And the job was sent once

    Examples:
      | size | rate |
      | 1    | 250  |
      | 250  | 250  |
      | 350  | 250  |

  Scenario: A small request behind a large one on a slow link is not repeated
    Given a process whose link to the leader takes 250 KB/s
    When a caller submits a job of 250 KB there
    And a caller submits a job of 1 KB there
    Then both callers are answered in time that the job is accepted
    And each job was sent once

  Scenario: A leader that is silent is still given up within a second
    Given a process whose link to the leader takes 250 KB/s
    When the leader falls silent and a caller submits a job of 1 KB there
    Then the process looks for another leader within 1 second

  Scenario Outline: <requests> requests at a keeper whose leader gives up office for <seconds> s
    Given a keeper that still takes a deposed leader for the leader
    When <requests> requests wait there for <seconds> s and the deposed leader answers each with <code>
    Then each was sent to it at most once in <interval> s

    Examples:
      | requests | seconds | interval | code             |
      | 1        | 1.2     | 0.15     | NOT_LEADER       |
      | 40       | 1.2     | 0.15     | NOT_LEADER       |
      | 40       | 1.2     | 0.15     | PROPOSAL_UNKNOWN |
