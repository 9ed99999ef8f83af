Feature: Input that can't be read ends no process
  Anyone who reaches a port may send bytes that are not what the protocol says. They
  are refused and the process goes on.

  # Guards against a request target that ends each process that receives it.
  Scenario Outline: A request with the target <target>
    Given an HTTP server
    When a request with the target <target> is received
    Then it is answered <status> and the connection is closed
    And the next request of another connection is answered 200

    Examples:
      | target         | status |
      | http://[       | 400    |
      | http://[::1    | 400    |

  Scenario: Random requests raise nothing in an HTTP server
    Given an HTTP server
    When 400 random requests are received
    Then the next request of another connection is answered 200

  # Guards against bodies that are nested too deeply to be read. An operator that is
  # answered 5xx sends its configuration again and again.
  Scenario Outline: <call> with <content> is answered <status>
    Given a process with a disk that knows no leader
    When it receives <call> with <content>
    Then the answer is <status> and nothing is forwarded

    Examples:
      | call            | content                    | status |
      | a heartbeat     | a deeply nested field      | 400    |
      | a heartbeat     | a number of 5000 digits    | 400    |
      | a heartbeat     | an exponent of 999         | 400    |
      | a heartbeat     | bytes that are not UTF-8   | 400    |
      | a heartbeat     | a capacity above the limit | 400    |
      | a heartbeat     | an address with port 0     | 400    |
      | a heartbeat     | an address with port 65536 | 400    |
      | a heartbeat     | an address with port -1    | 400    |
      | a heartbeat     | an address with port x     | 400    |
      | a heartbeat     | an address without a port  | 400    |
      | a heartbeat     | a port of 5000 digits      | 400    |
      | a leave         | a deeply nested field      | 400    |
      | a leave         | a number of 5000 digits    | 400    |
      | a leave         | bytes that are not UTF-8   | 400    |
      | a leave         | a negative number          | 400    |
      | a configuration | a deeply nested field      | 400    |
      | a configuration | a number of 5000 digits    | 400    |
      | a configuration | an exponent of 999         | 400    |
      | a configuration | bytes that are not UTF-8   | 400    |
      | a job           | a deeply nested field      | 400    |
      | a job           | a number of 5000 digits    | 400    |
      | a job           | an exponent of 999         | 400    |
      | a job           | bytes that are not UTF-8   | 400    |

  Scenario Outline: A heartbeat with <content> is taken
    Given a process with a disk that knows no leader
    When it receives a heartbeat with <content>
    Then it is not refused as malformed

    Examples:
      | content                    |
      | an address with port 1     |
      | an address with port 65535 |

  # Guards against a leader that a list of members with one odd entry ends.
  Scenario Outline: A process is told that the leader is at <address>
    Given a process with a disk that knows no leader
    When another process names <address> as a leader and as a member
    Then it goes on running and looks for the leader elsewhere

    Examples:
      | address           |
      | 127.0.0.1:99999   |
      | 127.0.0.1:-1      |
      | 127.0.0.1:x       |
      | 127.0.0.1         |

  Scenario Outline: A process receives <content> from another writer at its peer port
    Given a process with a disk that knows no leader
    When another writer sends <content> to its peer port
    Then it goes on running

    Examples:
      | content                     |
      | random bytes                |
      | frames with random changes  |
      | a deeply nested request     |
      | a member with port 0        |
      | a member with port 99999    |

  Scenario: A leader is sent random configurations and jobs for their queues
    When a leader is sent random configurations with seeds 0 to 19
    Then none of them crashes it
