Feature: A colocated step does not wait for ever for a rack of its own
  Tasks of a colocated step are slow on more than one rack, so they are placed on one.
  There are two racks of three workers with 16 cores each.

  # Guards against an accepted job that never starts, because its step is wider than
  # any rack.
  Scenario Outline: A colocated step of <tasks> <kind> tasks with 4 cores each, <used> cores of each rack in use
    Given two racks of which <used> cores each are in use
    When a colocated step of <tasks> <kind> tasks with 4 cores each waits
    Then its first tasks start after <first> s
    And <outcome>

    Examples:
      | tasks | kind     | used | first     | outcome                                            |
      | 8     | ordinary | 0    | 0.0 to 0.3   | all of them are done, never on two racks at a time |
      | 16    | ordinary | 0    | 0.0 to 3.0   | all of them are done, never on two racks at a time |
      | 40    | ordinary | 0    | 0.0 to 3.0   | all of them are done, never on two racks at a time |
      | 12    | ordinary | 8    | 0.0 to 3.0   | all of them are done, never on two racks at a time |
      | 8     | gang     | 0    | 0.0 to 0.3   | all of them run together on one rack               |
      | 16    | gang     | 0    | 0.0 to 3.0   | all of them run together                           |
      | 5     | gang     | 26   | 10.0 to 11.0 | all of them run together                           |
      | 8     | lasting  | 0    | 0.0 to 0.3   | all of them run together on one rack               |
      | 16    | lasting  | 0    | 0.0 to 3.0   | all of them run together                           |

  Scenario: A task of a colocated step that has failed runs again on the rack of the others
    Given two racks of which 0 cores each are in use
    When a colocated step of 8 ordinary tasks with 4 cores each waits and its first run fails
    Then all of them are done, never on two racks at a time

  # Guards against an exception that ends the leader.
  Scenario Outline: A colocated step of <kind> tasks needs a label that no worker has
    Given two racks of which 0 cores each are in use
    When a colocated step of 4 <kind> tasks that need a label waits
    Then none of its tasks starts

    Examples:
      | kind     |
      | ordinary |
      | gang     |
      | lasting  |
