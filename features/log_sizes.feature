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
