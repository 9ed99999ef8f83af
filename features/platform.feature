Feature: The adapter to the users' platform, and processes that use it
  Decoders must accept valid input and refuse invalid input as a whole. Real
  processes must elect a leader, run jobs, redirect or forward requests, log the
  cause of a failed request, and end within their grace period.

  Scenario Outline: A configuration with <fault> is <verdict>
    When a configuration with <fault> is decoded
    Then the input is <verdict>

    Examples:
      | fault                                 | verdict  |
      | no fault                              | accepted |
      | a truncated body                      | refused  |
      | an unknown service                    | refused  |
      | two routes for the same host and path | refused  |
      | a timeout of 0                        | refused  |
      | a missing version                     | refused  |
      | a version that is text                | refused  |
      | a version of 70 bits                  | refused  |
      | unknown fields                        | accepted |

  # Guards against two runs at once, because a heartbeat of another writer under the id of
  # a worker is taken for its next incarnation.
  Scenario Outline: A heartbeat with <fault> is <verdict>
    When a heartbeat with <fault> is decoded
    Then the input is <verdict>

    Examples:
      | fault                    | verdict  |
      | no fault                 | accepted |
      | bytes that are not JSON  | refused  |
      | an unknown state         | refused  |
      | no born time             | refused  |
      | no service               | refused  |
      | no address               | refused  |
      | no zone                  | refused  |
      | no version               | refused  |
      | no slots                 | refused  |
      | no state                 | refused  |
      | no cold_remaining_ms     | refused  |
      | no sequence              | refused  |
      | no capacity              | refused  |
      | no gpu in its capacity   | refused  |
      | a capacity that is a number | refused |
      | no labels                | refused  |
      | no runs                  | refused  |
      | no ends                  | refused  |
      | no clock, runs and ends  | refused  |
      | empty runs and ends      | accepted |
      | a born time that is text | refused  |
      | an unknown ending        | refused  |
      | a born time of 70 bits   | refused  |
      | a usage of 70 bits       | refused  |

  Scenario Outline: A job with <fault> is <verdict>
    When a job with <fault> is decoded
    Then the input is <verdict>

    Examples:
      | fault                         | verdict  |
      | no fault                      | accepted |
      | no steps                      | refused  |
      | a step that depends on itself | refused  |
      | a step without tasks          | refused  |
      | a need of 70 bits             | refused  |

  Scenario: Encoded orders hold their non-empty fields only
    When orders with a start, a stop and a pace are encoded
    Then the answer holds exactly those

  Scenario Outline: A settings file is changed <how> while a process runs
    Given a settings file that is watched
    When it changes to <change>, <how>
    Then the seeds in use are <seeds> and the log says <line>

    Examples:
      | change         | how              | seeds | line               |
      | other seeds    | with a signal    | new   | settings read      |
      | other seeds    | without a signal | new   | settings read      |
      | another host   | with a signal    | old   | settings read      |
      | truncated text | with a signal    | old   | settings not taken |
      | another role   | without a signal | old   | settings not taken |

  # Guards against a change that seems effective because a later one hides it.
  Scenario: A change that needs a restart is followed by another one
    Given a settings file that is watched
    When it changes to another host, with a signal
    And it changes to another host and other seeds, with a signal
    Then the log names host as a change that needs a restart

  Scenario: Three processes form a quorum, run a job, and continue after their leader is killed
    Given 3 processes of a cluster with disks and 1 without
    And an operator's configuration and 2 fake workers
    When a caller submits a job to the process without a disk
    Then its tasks are all done within 15 seconds
    When the leader process is killed
    And a caller submits a job to the process without a disk
    Then its tasks are all done within 25 seconds
    And a process that is stopped with a signal ends within its grace period

  Scenario: A large configuration does not pass through a process without a disk
    Given 3 processes of a cluster with disks and 1 without
    And an operator's configuration and 2 fake workers
    When an operator adds 1400 routes at the process without a disk, not following redirects
    Then the answer is 307
    When an operator adds 1400 routes at the process without a disk, following redirects
    Then the answer is 200
    And every process reads back version 8 within 3 seconds

  Scenario: A seed without a disk finds the leader again after a restart
    Given 3 processes of a cluster with disks and a seed that has none
    When the seed is killed and started again
    Then the seed knows the leader again within 15 seconds

  Scenario: The logs show the cause of three kinds of failed request by its id
    Given 3 processes of a cluster with disks and 1 without
    And an operator's configuration and 2 fake workers
    When a caller submits a job whose tasks fail
    Then its state is failed within 15 seconds
    And the logs show under its id which runs failed and on which worker
    When a caller asks for a queue that does not exist
    Then the log of the process without a disk shows under the request id that no queue has that path
    When a caller submits a job while no keeper runs
    Then the log of the process without a disk shows under the request id that no keeper could be reached

  Scenario Outline: A process with a grace period of <grace> s, <after> s after it was told to stop
    Given a process that was told to stop <after> s ago with a grace period of <grace> s
    When its callers <callers>
    Then it <answers> and <ends>

    Examples:
      | grace | after | callers         | answers                 | ends          |
      | 6     | 1.0   | are gone        | keeps answering         | keeps running |
      | 6     | 2.6   | are gone        | keeps answering         | exits         |
      | 6     | 2.6   | are still there | keeps answering         | keeps running |
      | 6     | 4.6   | are still there | answers all immediately | keeps running |
      | 6     | 5.1   | are still there | answers all immediately | exits         |
      | 3     | 2.0   | are still there | keeps answering         | keeps running |
      | 3     | 2.6   | are still there | answers all immediately | exits         |
