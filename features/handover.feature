Feature: A leader that is told to stop transfers its leadership without an election timeout
  In simulated time, each disk sync takes 9 ms. The scenarios guard against a
  transfer that takes as long as an election timeout or loses committed commands,
  and against a leader that accepts no commands after a failed transfer.

  Scenario Outline: A leader of <voters> voters transfers its leadership while <load> commands a second are proposed
    Given <voters> voters and a leader with <load> commands a second
    When the leader transfers its leadership, in each of 20 histories
    Then another keeper leads within 0.3 s in all of them
    And no committed command is lost

    Examples:
      | voters | load |
      | 3      | 0    |
      | 3      | 400  |
      | 5      | 400  |
      | 5      | 1500 |

  Scenario: A leader whose transferee does not answer remains the leader
    Given 3 voters and a leader with 400 commands a second
    When the leader transfers its leadership and no other keeper receives the request
    Then it accepts commands again within 1.5 s
