Feature: No message grows with the number of tasks
  One frame between processes, one entry of the log and one answer to a worker have
  bounded sizes, however many tasks a job has.

  # Guards against leaders that end one after the other, because the orders for a
  # worker exceed a frame, and against answers that a worker rejects.
  Scenario Outline: A worker is assigned <tasks> tasks with payloads of <bytes> bytes
    Given a worker that is assigned <tasks> tasks with payloads of <bytes> bytes
    When it reports until it has been told to start all of them
    Then each answer has at most <most> bytes
    And it has reported at least every 100 ms

    Examples:
      | tasks | bytes | most    |
      | 4300  | 4000  | 262144  |
      | 4300  | 40    | 262144  |
      | 3     | 65536 | 262144  |

  Scenario: A worker with thousands of runs of a cancelled job is told to stop them
    Given a worker that runs 8000 tasks of a job
    When the job is cancelled and the worker reports until it runs none of them
    Then each answer has at most 262144 bytes

  Scenario: A worker with thousands of runs is lost
    Given a worker that runs 4300 tasks of a job
    When it is not heard from for 10 s
    Then no command of the log ends more than 512 runs
    And all of the tasks wait again

  Scenario: A step of thousands of tasks is assigned in several commands
    Given a worker that is assigned 4300 tasks with payloads of 40 bytes
    Then no command of the log assigns more than 256 tasks

  # Guards against a message that is too large and ends the process that sends it.
  Scenario: A reply that exceeds a frame is replaced by a refusal
    Given a process with a disk that knows no leader
    When it answers another process with more than a frame holds
    Then the other process is told PROPOSAL_UNKNOWN
    And an answer that fits is still sent to the other process
