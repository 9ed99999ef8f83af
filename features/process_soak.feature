Feature: Real processes with slow disks keep the rules under overlapping faults
  Simulated workers check each start in their shared view: the limit of a step on
  a worker, labels, services, the order of steps, capacity, and that no task runs
  twice. Commits take long, so that decisions are made while others are pending.

  Scenario Outline: The workers of the soak detect <fault>
    Given workers w1 with label a, w2 with label b, and w3 of another service
    When they are given <fault>
    Then the rules found broken are <rules>

    Examples:
      | fault                                                     | rules               |
      | two tasks of a limited step on two workers                | none                |
      | two tasks of a limited step on one worker                 | ROUTE anti_affinity |
      | a second task while the first one is being stopped        | ROUTE anti_affinity |
      | a second task after the first one has stopped             | none                |
      | a task without the label that it requires                 | ROUTE label         |
      | a task of another service                                 | ROUTE service       |
      | a task that runs on another worker                        | TWICE               |
      | a task whose lease on another worker has expired          | none                |
      | a task after its done end was noted                       | TWICE after done    |
      | a task again before its done end is noted                 | TWICE before note   |
      | a task again before an end noted after the lease expired  | none                |
      | a task before the step that it waits for                  | ORDER               |
      | a task beyond the capacity                                | LIMIT               |
      | a task beyond the capacity of a worker that guards it     | none                |
      | a task with a lower fencing token                         | none                |
      | a task that nobody submitted                              | UNASKED             |

  Scenario: Nodes are killed, stopped and frozen while workers crash, drain and fall silent
    When the soak runs seed 8 with faults for 20 s
    Then no rule was broken
    And tasks were started and assigned
