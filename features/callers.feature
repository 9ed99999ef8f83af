Feature: Callers are told what is true of their jobs
  The scenarios guard against a queue length without jobs that have not begun, and
  against a job that runs after its cancelling was answered.

  Scenario Outline: A job <situation> counts as <counted>
    Given a queue with a job <situation>
    Then its queue length is <length>

    Examples:
      | situation                                         | counted     | length |
      | that waits                                        | waiting     | 1      |
      | that is assigned to a worker that has crashed     | waiting     | 1      |
      | that is assigned and not reported yet             | waiting     | 1      |
      | that a worker has reported as running             | not waiting | 0      |
      | of two tasks, the first of which is done          | not waiting | 0      |
      | whose only run has failed                         | not waiting | 0      |
      | that is cancelled                                 | not waiting | 0      |

  Scenario Outline: A submission that arrives <when> its cancelling is answered <code>
    Given a leader that has answered the cancelling of a job that it doesn't know
    When the job is submitted <when>
    Then the submission is answered <code>

    Examples:
      | when                          | code        |
      | right after                   | NO_SUCH_JOB |
      | after a snapshot was loaded   | NO_SUCH_JOB |
      | after 4096 other cancellings  | accepted    |

  # Guards against an answer that promises that a job won't run, although the leader
  # has not recorded its cancelling.
  Scenario Outline: <request> arrives just before its queue is added
    Given a leader without a configuration
    When <request> arrives, and then the configuration that adds its queue
    Then it is answered that there is no such queue

    Examples:
      | request      |
      | a submission |
      | a cancelling |
