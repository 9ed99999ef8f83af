Feature: Decisions of the core

  Scenario Outline: Tickets
    Given the accepted tickets <before>
    When ticket <number> sets the deadline of "<service>" to <value>
    Then the result is <result>

    Examples:
      | before                     | number | service | value | result            |
      | none                       | 5      | booking | 100   | ACCEPTED          |
      | 5 booking 100              | 5      | booking | 100   | ACCEPTED          |
      | 5 booking 100              | 5      | booking | 200   | NUMBER_TAKEN      |
      | 5 booking 100              | 4      | booking | 200   | NUMBER_SUPERSEDED |
      | 5 booking 100              | 4      | gates   | 200   | ACCEPTED          |
      | 5 booking 100              | 6      | booking | 200   | ACCEPTED          |

  Scenario Outline: The run ledger
    Given a key that was <before>
    When the key is sent again with <body>
    Then the result is <result>

    Examples:
      | before                     | body         | result          |
      | never seen                 | the same body | ACCEPTED        |
      | begun                      | the same body | IN_PROGRESS     |
      | answered                   | the same body | REPEATED        |
      | answered without a copy    | the same body | ANSWER_NOT_KEPT |
      | not run                    | the same body | ACCEPTED        |
      | of unknown outcome         | the same body | OUTCOME_UNKNOWN |
      | begun by a session that ended | the same body | OUTCOME_UNKNOWN |
      | answered                   | another body | KEY_REUSED      |

  Scenario Outline: How a job goes on
    Given a job that is <kind> and runs on a worker
    When the worker <event>
    Then the job is <phase>

    Examples:
      | kind                          | event                           | phase       |
      | idempotent                    | reports success                 | done        |
      | idempotent                    | reports failure                 | queued      |
      | non-idempotent                | reports failure                 | failed      |
      | idempotent                    | falls silent                    | queued      |
      | non-idempotent                | falls silent                    | unknown     |
      | idempotent                    | restarts                        | queued      |
      | non-idempotent                | restarts                        | unknown     |
      | non-idempotent                | could not start it              | queued      |
      | checkpointing                 | is evicted at a checkpoint      | queued      |
      | checkpointing                 | is evicted without a checkpoint | unknown     |
      | idempotent                    | is cancelled                    | cancelled   |
      | non-idempotent                | is cancelled and falls silent   | cancelled   |

  Scenario Outline: Bad jobs and bad workers
    Given <workers> workers of which <bad> fail everything
    When <jobs> idempotent jobs of which <hopeless> always fail are run
    Then <done> jobs are done and <quarantined> are quarantined
    And at most <probation> workers are on probation

    Examples:
      | workers | bad | jobs | hopeless | done | quarantined | probation |
      | 8       | 0   | 20   | 0        | 20   | 0           | 0         |
      | 8       | 1   | 20   | 0        | 20   | 0           | 1         |
      | 8       | 0   | 20   | 2        | 18   | 2           | 0         |
      | 8       | 1   | 20   | 2        | 18   | 2           | 1         |

  Scenario Outline: Jobs that cannot run
    Given a worker with 4000 millicores and a quota of <quota>
    When a job that needs <needs> millicores is submitted
    Then the result is <result>

    Examples:
      | quota | needs | result     |
      | none  | 4000  | ACCEPTED   |
      | none  | 4001  | NEVER_FITS |
      | 3000  | 3001  | NEVER_FITS |
      | 3000  | 3000  | ACCEPTED   |

  Scenario: Urgent work makes room for itself
    Given a worker that is full of 4 checkpointing jobs
    When an urgent job of the size of 2 is submitted
    Then 2 jobs are asked to stop and the urgent job is granted next

  Scenario: Jobs that fit nowhere now do not hold up others
    Given a worker that is full of 4 checkpointing jobs
    When 600 jobs that need a whole worker are queued before a small one
    And room for the small one is made
    Then the small job is granted

  Scenario Outline: Steps on a worker whose services suffer
    Given a worker with a service and 3 checkpointing batch jobs
    When the service reports <inflation> times its baseline for <seconds> seconds
    Then <throttled> jobs are throttled, <checkpointed> asked for a checkpoint and <stopped> to stop

    Examples:
      | inflation | seconds | throttled | checkpointed | stopped |
      | 1.1       | 20      | 0         | 0            | 0       |
      | 1.3       | 20      | 0         | 0            | 0       |
      | 1.45      | 20      | 3         | 3            | 0       |
      | 3.0       | 12      | 2         | 2            | 1       |
      | 3.0       | 16      | 1         | 1            | 2       |

  Scenario: Slots are divided among entries without remainder
    When 200 random demands are divided
    Then no slot is left over or given twice

  Scenario: Retries stay within their budget
    When 1000 requests all fail and are retried with a budget of 10 percent
    Then at most 110 retries are admitted

  Scenario: One caller cannot fill the queue
    When one caller sends 100 requests to a full service with a queue of 20
    Then 10 of them are queued
    And another caller's request is still queued

  Scenario: A broad fault ejects few endpoints
    When all 6 endpoints of a service fail 10 times
    Then at most 2 endpoints are ejected
