Feature: What is kept between two snapshots is bounded in bytes
  A configuration may have hundreds of kilobytes, and there are hundreds of changes a
  day. Disks have little room, and memory less.

  # Guards against disks that are filled by the log, so that nothing is committed and no
  # snapshot becomes due any more.
  Scenario Outline: <changes> changes of a configuration of <kilobytes> KB are applied
    Given a keeper that leads alone
    When <changes> changes of a configuration of <kilobytes> KB are applied
    Then <snapshots> snapshots were taken
    And its log never held more than <uncovered> MB that no snapshot covers
    And it never held more than <held> MB in memory

    Examples:
      | changes | kilobytes | snapshots | uncovered | held |
      | 300     | 400       | 7         | 18        | 26   |
      | 20      | 4000      | 4         | 21        | 30   |
      | 3000    | 1         | 0         | 18        | 26   |
      | 7000    | 1         | 1         | 18        | 26   |

  # Guards against a leader that exceeds its memory with what it sends ahead to a keeper
  # that has lost its disk.
  Scenario Outline: A peer lacks <entries> entries of <kilobytes> KB and acknowledges nothing
    Given a leader with <entries> entries of <kilobytes> KB that a peer lacks
    When the peer has acknowledged the first entry and is sent more for 10 s
    Then it has been sent at most <sent> MB

    Examples:
      | entries | kilobytes | sent |
      | 100     | 400       | 6    |
      | 10      | 4000      | 9    |
      | 7000    | 1         | 6    |

  Scenario Outline: A peer lacks <entries> entries of <kilobytes> KB and acknowledges all that it is sent
    Given a leader with <entries> entries of <kilobytes> KB that a peer lacks
    When the peer acknowledges all that it is sent
    Then it holds the whole log

    Examples:
      | entries | kilobytes |
      | 100     | 400       |
      | 10      | 4000      |
      | 7000    | 1         |
