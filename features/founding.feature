Feature: A deployment is founded once, whatever happens at its first start
  One process decides who founds the deployment, and only the settings of its first life
  say that it is to be founded. A second quorum would be worse than none.

  # Guards against a deployment that is never founded, since the process that decides it
  # is killed at the first start.
  Scenario Outline: The process that decides ends <when>, and starts again with <disk>
    Given 3 keepers that announce themselves at the first start
    When the process that decides ends <when>, and starts again with <disk>
    Then <founders> of them are told to found the quorum in all

    Examples:
      | when                    | disk      | founders |
      | after 0.1 s             | its disk  | 1        |
      | after 0.6 s             | its disk  | 1        |
      | once it has decided     | its disk  | 1        |
      | after 0.1 s             | a new one | 0        |
      | once it has decided     | a new one | 1        |
      | after 0.6 s             | no disk   | 0        |

  # Guards against a second quorum.
  Scenario Outline: The process that decides starts again <when> and hears only of <others>
    Given 3 keepers that announce themselves at the first start
    When it has decided, starts again <when> and hears only of <others>
    Then 1 of them are told to found the quorum in all

    Examples:
      | when                             | others                    |
      | before a leader is known         | those that it didn't choose |
      | after a leader has been known    | those that it didn't choose |
      | with the first start in its settings | those that it didn't choose |

  Scenario: A process that is the first seed in its second life decides nothing
    Given 3 keepers that announce themselves at the first start
    When a process that was not the first seed starts again as such
    Then 0 of them are told to found the quorum in all

  Scenario: A decision that can't be stored is not made
    Given 3 keepers that announce themselves at the first start
    When the disk of the process that decides takes nothing for 2 s
    Then 0 of them are told to found the quorum in all
    When the disk takes writes again
    Then 1 of them are told to found the quorum in all

  Scenario Outline: Process <killed> is killed <after> s after it has stored that it may found, and the first seed is <seed>
    Given 4 processes that start for the first time, the first seed being <seed>
    When process <killed> is killed <after> s after it has stored that, for 2 s
    Then an operator's configuration is accepted within 20 seconds

    Examples:
      | killed | after | seed |
      | 1      | 0.0   | 1    |
      | 1      | 0.3   | 1    |
      | 1      | 0.8   | 1    |
      | 2      | 0.3   | 2    |
      | 1      | 0.8   | 2    |
