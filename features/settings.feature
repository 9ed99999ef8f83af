Feature: Settings, codes and frames
  The scenarios guard against a settings file whose problems are reported one at a
  time, examples and tables of codes that have become outdated, and frames that
  change a message.

  Scenario Outline: All problems of a settings file are reported
    Given the example "<file>" with <key> set to <value>
    When the settings are checked
    Then the problems name <problems>

    Examples:
      | file                       | key                     | value     | problems                |
      | standalone.yaml            | name                    | "local"   | nothing                 |
      | standalone.yaml            | name                    | "a b"     | name                    |
      | standalone.yaml            | listen_http.port        | 70000     | listen_http.port        |
      | standalone.yaml            | colour                  | 1         | colour                  |
      | standalone.yaml            | role                    | "boss"    | role                    |
      | standalone.yaml            | listen.host             | "example" | listen.host             |
      | standalone.yaml            | limits                  | {"max_in_progress": 0, "max_body_bytes": "x"} | limits.max_in_progress, limits.max_body_bytes |
      | standalone.yaml            | leases                  | {"worker_lease_ms": 100} | leases.worker_lease_ms |
      | hedegaard/keeper-k1.yaml   | election                | {"timeout_min_ms": 100} | election.timeout_min_ms |
      | hedegaard/entry-e1.yaml    | keepers                 | []        | keepers                 |
      | passdesk/entry-e10.yaml    | domain                  | null      | domain                  |

  # Guards against a process that ends by a signal to reload, since it has no handler yet.
  Scenario: A node is asked to reload its settings while it starts
    Given a node that is reading its settings
    When it is asked to reload them, and the settings that it reads are invalid
    Then it exits since its settings are invalid

  Scenario: Every example is valid
    Then all settings in examples are valid

  Scenario: The tables of codes in the docs agree with the program
    Then docs/CODES.md lists every result code and exit code

  Scenario: Frames of messages between processes
    When 200 random messages are encoded and decoded
    Then decoding returns each message unchanged
    And random bytes are decoded or refused as malformed
