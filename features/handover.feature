Feature: A leader that is told to stop hands its office over without an election

  Scenario Outline: A leader of <voters> voters hands over while <load> commands a second are proposed
    Given <voters> voters and a leader with <load> commands a second
    When the leader hands over, in each of 20 histories
    Then another keeper leads within 0.3 s in all of them
    And no committed command is lost

    Examples:
      | voters | load |
      | 3      | 0    |
      | 3      | 400  |
      | 5      | 400  |
      | 5      | 1500 |

  Scenario: A leader whose successor does not answer stays in office
    Given 3 voters and a leader with 400 commands a second
    When the leader hands over and no other keeper hears of it
    Then it takes commands again within 1.5 s
