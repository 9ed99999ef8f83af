Feature: Requests reach the leader over slow links and during a change of leader
  The scenarios guard against requests that are lost while no leader is known,
  sent again because a slow link delays the answer, sent on to a silent leader, or
  repeated too often to a leader that has been deposed.

  Scenario Outline: A process <kind> that learns the leader only after a request for <request>
    Given a process <kind> that knows no leader
    When <request> is requested there and the process learns the leader
    Then <request> is <outcome>

    Examples:
      | kind           | request                | outcome                   |
      | without a disk | a new configuration    | redirected to the leader  |
      | without a disk | the configuration      | redirected to the leader  |
      | without a disk | a job's state          | forwarded by the process  |
      | with a disk    | a new configuration    | forwarded by the process  |
      | with a disk    | the configuration      | forwarded by the process  |

  Scenario Outline: A job of <size> KB through a process whose link carries <rate> KB/s
    Given a process whose link to the leader carries <rate> KB/s
    When a caller submits a job of <size> KB there
    Then the caller is answered in time that the job is accepted
    And the job was sent once

    Examples:
      | size | rate |
      | 1    | 250  |
      | 250  | 250  |
      | 350  | 250  |

  Scenario: A small request behind a large one on a slow link is not repeated
    Given a process whose link to the leader carries 250 KB/s
    When a caller submits a job of 250 KB there
    And a caller submits a job of 1 KB there
    Then both callers are answered in time that the job is accepted
    And each job was sent once

  Scenario: A process gives up a silent leader within a second
    Given a process whose link to the leader carries 250 KB/s
    When the leader stops replying and a caller submits a job of 1 KB there
    Then the process looks for another leader within 1 second

  Scenario Outline: <requests> requests wait for <seconds> s at a keeper whose leader is deposed
    Given a keeper that doesn't know yet that its leader is deposed
    When <requests> requests wait there for <seconds> s and the deposed leader answers each with <code>
    Then each was sent to the deposed leader at most once every <interval> s

    Examples:
      | requests | seconds | interval | code             |
      | 1        | 1.2     | 0.15     | NOT_LEADER       |
      | 40       | 1.2     | 0.15     | NOT_LEADER       |
      | 40       | 1.2     | 0.15     | PROPOSAL_UNKNOWN |
