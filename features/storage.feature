Feature: A keeper's data folder

  Scenario Outline: Damage to the log
    Given a log of <records> synced records
    When <damage>
    Then loading it <outcome>

    Examples:
      | records | damage                               | outcome              |
      | 5       | nothing happens                      | gives 5 entries      |
      | 5       | the last 3 bytes are cut off         | gives 4 entries      |
      | 5       | a byte of the last record is flipped | gives 4 entries      |
      | 5       | a byte of record 2 is flipped        | is refused           |
      | 5       | the snapshot is damaged              | is refused           |
      | 5       | garbage follows the last record      | gives 5 entries      |

  Scenario Outline: A write that fails is never acknowledged
    Given a log of 3 synced records
    When a write fails with <error>
    Then the write is reported as failed
    And loading it gives 3 entries

    Examples:
      | error  |
      | ENOSPC |
      | EIO    |

  Scenario: Any cut of the log leaves a prefix
    When 60 random logs are cut at random places
    Then each loads as a prefix of what was written
