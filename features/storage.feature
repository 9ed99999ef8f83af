Feature: A keeper's data folder
  The scenarios guard against a damaged log that is loaded with a gap, a record
  that is lost although it was synced, and a failed write that is acknowledged.

  Scenario Outline: Loading a damaged log or snapshot
    Given a log of <records> synced records
    When <damage>
    Then loading the data folder <outcome>

    Examples:
      | records | damage                              | outcome         |
      | 5       | nothing happens                     | gives 5 entries |
      | 5       | the last 3 bytes are cut off        | gives 4 entries |
      | 5       | a bit of the last record is flipped | gives 4 entries |
      | 5       | a bit of record 2 is flipped        | is refused      |
      | 5       | the snapshot is damaged             | is refused      |
      | 5       | garbage follows the last record     | gives 5 entries |

  Scenario Outline: A write that fails is never acknowledged
    Given a log of 3 synced records
    When a write fails with <error>
    Then the write is reported as failed
    And loading the data folder gives 3 entries

    Examples:
      | error  |
      | ENOSPC |
      | EIO    |

  # Guards against a damaged record before valid ones after a sync that failed.
  Scenario: A record whose sync fails is removed before it is written again
    Given a log of 3 synced records
    When a sync fails with EIO and the record is written again
    Then the log holds one more record than before
    And loading the data folder gives 4 entries

  # Guards against records that a killed process wrote without a sync.
  Scenario: What an earlier process wrote is synced before it is used
    Given a log of 3 synced records
    When the data folder is loaded by another process
    Then the log is synced before it is used

  Scenario: A truncated log loads as a prefix of its entries
    When 60 random logs are truncated at random places
    Then each loads as a prefix of what was written
