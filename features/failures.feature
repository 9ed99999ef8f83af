Feature: Failures of real processes
  After every fault the deployment serves requests again, and no non-idempotent
  request has run more than once.

  Scenario Outline: A process dies or is frozen under load
    Given a deployment of 3 keepers and 2 entries
    And 2 fake endpoints
    And 2 fake workers
    And load of keyed requests and jobs
    When <fault>
    And the load continues for 3 seconds
    Then no key has run twice and no two runs of a job have overlapped
    And the deployment serves requests again
    And the event record contains <event>

    Examples:
      | fault                                       | event           |
      | the leader is killed                        | leader_elected  |
      | a follower is killed                        | job_ended       |
      | an entry is killed                          | session_expired |
      | the leader is frozen for 2 seconds          | leader_elected  |
      | the leader is killed twice with restarts    | leader_elected  |
      | a worker is cut off                         | lease_ended     |
      | an endpoint stops without notice            | endpoint_lost   |
      | the leader and an entry are killed together | session_expired |

  Scenario: A keeper with a lost data folder is replaced, then another VM is lost
    Given a deployment of 3 keepers and 1 entries
    And a fake endpoint
    When keeper "k3" is killed and its data folder is lost
    And it is started again
    Then the status shows a keeper with a lost disk
    When a ticket replaces "k3" by "k4"
    Then "k4" becomes a voter and "k3" is gone
    When another keeper is killed
    Then the deployment serves requests again
    And an accepted ticket is still in force

  Scenario: Operators submit different tickets with the same number at once
    Given a deployment of 3 keepers and 2 entries
    When 8 operators submit ticket 7 with different content at the same time
    Then exactly one is accepted and the others are told its digest
    And sending the accepted ticket again gives the same answer
    And the ticket is in force on every entry within 3.0 seconds

  Scenario: A keeper that was down during 400 changes catches up
    Given a deployment of 3 keepers and 1 entries
    When a follower is killed
    And 400 tickets are accepted
    And it is started again
    Then its log is at most 5 entries behind within 5.0 seconds

  Scenario: An entry that can reach no keeper refuses requests
    Given a deployment of 3 keepers and 2 entries
    And a fake endpoint
    When all keepers are frozen
    Then each entry refuses requests within 2.0 seconds
    When all keepers are thawed
    Then the deployment serves requests again

  Scenario: Many jobs are cancelled at once
    Given a deployment of 1 keepers and 1 entries
    And 2 fake workers
    When 200 jobs are submitted and cancelled at once
    Then all 200 jobs are cancelled or done
    And no capacity is committed on any worker
