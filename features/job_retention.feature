Feature: Ended jobs are kept for as long as callers ask for them, and no longer
  The number of jobs in the state is limited, ended ones included. The scenarios
  guard against a deployment that refuses every job once it has run enough of
  them, and against a job that is forgotten while a run of it may be going on.

  Scenario Outline: A new job, <after> s after as many jobs have ended as the state holds
    Given as many ended jobs as the state holds
    When <after> s pass
    Then a new job is <verdict>

    Examples:
      | after | verdict  |
      | 299   | refused  |
      | 302   | accepted |

  Scenario Outline: A job that was cancelled <after> s ago, <run>
    Given a job that is cancelled, <run>
    When <after> s pass
    Then the state holds the job: <verdict>

    Examples:
      | run                                  | after | verdict   |
      | before it started                    | 299   | yes       |
      | before it started                    | 302   | no        |
      | with a run that has not ended        | 302   | yes       |
