Feature: Decisions of the state machine, the leader and the router
  Each rule is called directly, without processes. The scenarios guard against
  tickets, requests under one key and job events that are applied wrongly, and
  against one job, caller or service that takes the resources of the others.

  Scenario Outline: A ticket is accepted or refused by its number
    Given the accepted tickets <before>
    When ticket <number> sets the deadline of "<service>" to <value>
    Then the result is <result>

    Examples:
      | before        | number | service | value | result            |
      | none          | 5      | booking | 100   | ACCEPTED          |
      | 5 booking 100 | 5      | booking | 100   | ACCEPTED          |
      | 5 booking 100 | 5      | booking | 200   | NUMBER_TAKEN      |
      | 5 booking 100 | 4      | booking | 200   | NUMBER_SUPERSEDED |
      | 5 booking 100 | 4      | gates   | 200   | ACCEPTED          |
      | 5 booking 100 | 6      | booking | 200   | ACCEPTED          |

  Scenario Outline: A request sent again under the same key
    Given a key that was <before>
    When the key is sent again with <body>
    Then the result is <result>

    Examples:
      | before                              | body          | result          |
      | never seen                          | the same body | ACCEPTED        |
      | started                             | the same body | IN_PROGRESS     |
      | answered                            | the same body | REPEATED        |
      | answered, answer not kept           | the same body | ANSWER_NOT_KEPT |
      | not run                             | the same body | ACCEPTED        |
      | left with an unknown outcome        | the same body | OUTCOME_UNKNOWN |
      | started by a session that has ended | the same body | OUTCOME_UNKNOWN |
      | answered                            | another body  | KEY_REUSED      |

  Scenario Outline: The phase of a job after an event
    Given a job that is <kind> and runs on a worker
    When <event>
    Then the job is <phase>

    Examples:
      | kind           | event                                                | phase     |
      | idempotent     | the worker reports success                           | done      |
      | idempotent     | the worker reports failure                           | queued    |
      | non-idempotent | the worker reports failure                           | failed    |
      | idempotent     | the worker stops responding                          | queued    |
      | non-idempotent | the worker stops responding                          | unknown   |
      | idempotent     | the worker restarts                                  | queued    |
      | non-idempotent | the worker restarts                                  | unknown   |
      | non-idempotent | the worker could not start the job                   | queued    |
      | checkpointing  | the job is evicted at a checkpoint                   | queued    |
      | checkpointing  | the job is evicted without a checkpoint              | unknown   |
      | idempotent     | the job is cancelled                                 | cancelled |
      | non-idempotent | the job is cancelled and the worker stops responding | cancelled |

  Scenario Outline: Quarantine of failing jobs and probation of failing workers
    Given <workers> workers of which <failing_workers> fail every task
    When <jobs> idempotent jobs of which <failing_jobs> always fail are run
    Then <done> jobs are done and <quarantined> are quarantined
    And at most <probation> workers are on probation

    Examples:
      | workers | failing_workers | jobs | failing_jobs | done | quarantined | probation |
      | 8       | 0               | 20   | 0            | 20   | 0           | 0         |
      | 8       | 1               | 20   | 0            | 20   | 0           | 1         |
      | 8       | 0               | 20   | 2            | 18   | 2           | 0         |
      | 8       | 1               | 20   | 2            | 18   | 2           | 1         |

  Scenario Outline: Jobs that exceed every worker or the quota are refused
    Given a worker with 4000 millicores and a quota of <quota>
    When a job that needs <needs> millicores is submitted
    Then the result is <result>

    Examples:
      | quota | needs | result     |
      | none  | 4000  | ACCEPTED   |
      | none  | 4001  | NEVER_FITS |
      | 3000  | 3001  | NEVER_FITS |
      | 3000  | 3000  | ACCEPTED   |

  Scenario: An urgent job preempts checkpointing jobs
    Given a worker that is full of 4 checkpointing jobs
    When an urgent job as large as 2 of them is submitted
    Then 2 jobs are asked to stop and the urgent job is granted next

  Scenario: Queued jobs that fit on no worker do not block a smaller one
    Given a worker that is full of 4 checkpointing jobs
    When 600 jobs that need a whole worker are queued before a small one
    And the first running job succeeds
    Then the small job is granted

  Scenario Outline: Orders to the batch jobs on a worker whose service is slowed down
    Given a worker with a service and 3 checkpointing batch jobs
    When the service reports <inflation> times its baseline latency for <seconds> seconds
    Then <throttled> jobs are throttled, <checkpointed> asked for a checkpoint and <stopped> to stop

    Examples:
      | inflation | seconds | throttled | checkpointed | stopped |
      | 1.1       | 20      | 0         | 0            | 0       |
      | 1.3       | 20      | 0         | 0            | 0       |
      | 1.45      | 20      | 3         | 3            | 0       |
      | 3.0       | 12      | 2         | 2            | 1       |
      | 3.0       | 16      | 1         | 1            | 2       |

  Scenario: Slots are divided among entries without remainder
    When 200 random sets of demands are divided
    Then no slot is left over or given twice

  Scenario: Retries stay within their budget
    When 1000 requests all fail and are retried with a budget of 10 percent
    Then at most 110 retries are admitted

  Scenario: One caller cannot fill the queue
    When one caller sends 100 requests to a full service with a queue of 20
    Then 10 of them are queued
    And another caller's request is still queued

  Scenario: A fault of all endpoints ejects only some of them
    When all 6 endpoints of a service fail 10 times
    Then at most 2 endpoints are ejected

  # Guards against a request that is said not to have run although it may have.
  Scenario Outline: The attempts of a request end with <codes>
    When the attempts of an idempotent request end with <codes>
    Then the caller is answered <answer>

    Examples:
      | codes                            | answer          |
      | CONNECTION_LOST                  | CONNECTION_LOST |
      | CONNECTION_LOST, CONNECT_FAILED  | CONNECTION_LOST |
      | CONNECTION_LOST, DEADLINE_PASSED | CONNECTION_LOST |
      | CONNECT_FAILED, CONNECTION_LOST  | CONNECTION_LOST |
      | CONNECT_FAILED                   | CONNECT_FAILED  |

  # Guards against 3009 just after an entry's start, though the ledger has the outcome.
  Scenario Outline: A request is sent again to an entry that <refuses>, and the ledger has <recorded>
    When a request with a key of <origin> is refused with <refuses> and the ledger has <recorded>
    Then the caller is answered <code>

    Examples:
      | origin     | refuses              | recorded            | code             |
      | the caller | NO_ENDPOINT          | an answer           | REPEATED         |
      | the caller | CONFIG_LEASE_EXPIRED | an answer           | REPEATED         |
      | the caller | UNKNOWN_SERVICE      | an answer           | REPEATED         |
      | the caller | NO_ENDPOINT          | an attempt          | IN_PROGRESS      |
      | the caller | NO_ENDPOINT          | an unknown outcome  | OUTCOME_UNKNOWN  |
      | the caller | NO_ENDPOINT          | another request     | KEY_REUSED       |
      | the caller | NO_ENDPOINT          | nothing             | ATTEMPT_NOT_SENT |
      | the caller | NO_ENDPOINT          | no leader           | ATTEMPT_NOT_SENT |
      | the caller | OVERLOADED           | an answer           | ATTEMPT_NOT_SENT |
      | the entry  | NO_ENDPOINT          | nothing             | NO_ENDPOINT      |
