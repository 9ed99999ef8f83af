Feature: What must always hold, under random faults
  The real core runs in simulated time. Messages are lost, doubled, delayed and
  reordered; processes crash with the loss of unsynced writes, freeze, restart
  and are cut off; clocks run at different rates.

  Scenario: Histories chosen by Hypothesis
    When 30 histories of 25 faults are run
    Then no invariant is broken

  Scenario Outline: Histories drawn from seeds
    When the "<kind>" histories with seeds from <first> to <last> are run
    Then no invariant is broken

    Examples:
      | kind        | first | last |
      | fault       | 1000  | 1059 |
      | stale read  | 0     | 39   |
      | slow worker | 0     | 29   |
      | replacement | 0     | 19   |

  Scenario Outline: Each mechanism is needed
    When "<mechanism>" and the "<kind>" histories with seeds from 0 to 59 are run
    Then an invariant is broken

    Examples:
      | mechanism                                             | kind        |
      | no sync before acknowledgement                        | fault       |
      | commit on a minority                                  | fault       |
      | votes are forgotten                                   | fault       |
      | reads are not confirmed                               | stale read  |
      | a new leader does not wait for old leases             | fault       |
      | the worker counts its lease from the reply            | slow worker |
      | the keeper ends leases early                          | fault       |
      | a lost lease of a non-idempotent job is granted again | fault       |
      | the ledger does not look a key up                     | fault       |
      | an intent may follow its own withdrawal               | fault       |
      | capacity is not checked                               | fault       |
      | shares of a silent entry are granted at once          | fault       |
      | the last ticket with a number wins                    | fault       |
      | evicted work starts again from its beginning          | fault       |
      | a keeper with a lost disk votes                       | replacement |

  Scenario: Copies of a rejection cause no further messages
    Given a leader that has been rejected by a follower
    When the same rejection arrives 50 times
    Then at most 2 messages are sent to the follower
