Feature: The reports of many workers don't overload the leader
  The more workers there are, the less often each reports, and other keepers
  receive most reports. The scenarios guard against workers that all move when one
  keeper fails, and against a confirmation of leadership for each request.

  Scenario Outline: The report interval of a worker with <free> of 64 cores free, among <workers>
    When a worker with <free> of 64 cores free, among <workers> workers, is told when to report
    Then it reports again after <after> ms

    Examples:
      | workers | free | after |
      | 24      | 10   | 100   |
      | 24      | 1    | 400   |
      | 176     | 10   | 352   |
      | 176     | 1    | 400   |
      | 270     | 10   | 540   |
      | 270     | 1    | 540   |
      | 7400    | 10   | 800   |

  Scenario Outline: Where <workers> workers report, with <others> other keepers connected
    When <workers> workers are told where to report, with <others> other keepers connected
    Then the leader receives the reports of <leader> of them and each other keeper those of at least <each>

    Examples:
      | workers | others | leader | each |
      | 24      | 3      | 24     | 0    |
      | 270     | 0      | 270    | 0    |
      | 270     | 1      | 0      | 270  |
      | 270     | 5      | 0      | 27   |

  Scenario: The failure of a keeper reassigns only its own workers
    When 270 workers are told where to report and one of 5 other keepers fails
    Then no worker of the remaining keepers is reassigned

  Scenario Outline: The answer to a report of an ended run, while <waiting> tasks wait
    Given a leading controller and a worker whose task ends, while <waiting> tasks wait
    When the end is reported
    Then the answer comes <when> and starts <starts> tasks

    Examples:
      | waiting | when                      | starts |
      | 0       | at once                   | 0      |
      | 1       | after an assignment        | 1      |

  Scenario Outline: A leader that is paused for <pause> s after a report was confirmed
    Given a leading controller and a worker whose task ends, while 1 tasks wait
    When the end is reported and the leader is paused for <pause> s
    Then it <verdict> before it answers

    Examples:
      | pause | verdict                      |
      | 0.1   | needs no new confirmation    |
      | 1.5   | asks for a new confirmation  |

  Scenario Outline: <requests> requests within <span> ms while a confirmation takes <round> ms
    When <requests> requests arrive within <span> ms and each confirmation takes <round> ms
    Then at most <rounds> confirmations are started and all are answered

    Examples:
      | requests | span | round | rounds |
      | 1        | 1    | 3     | 1      |
      | 100      | 100  | 3     | 26     |
      | 100      | 100  | 10    | 11     |
      | 100      | 1    | 10    | 2      |
