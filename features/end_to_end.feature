Feature: Requests through separate processes
  Requests go through real keepers and entries to fake endpoints. The scenarios
  guard against bad input that disturbs other requests, and against requests that
  are lost when an entry stops, an endpoint leaves or open connections stall.

  Scenario: Bad input is answered with its result code and does not disturb the service
    Given a deployment of 1 keepers and 1 entries
    And a fake endpoint
    Then these requests are answered
      | method | path                       | headers                 | body            | status | code |
      | GET    | /call/booking/yards        |                         |                 | 200    | 1000 |
      | GET    | /call/nobody/yards         |                         |                 | 404    | 2008 |
      | GET    | /call/bad name/yards       |                         |                 | 400    | 2012 |
      | POST   | /call/booking/run          | Fulmar-Key: k 1         | x               | 400    | 2012 |
      | POST   | /call/booking/run          | Fulmar-Key: k1          | x               | 200    | 1000 |
      | POST   | /call/booking/run          | Fulmar-Key: k1          | x               | 200    | 1002 |
      | POST   | /call/booking/run          | Fulmar-Key: k1          | y               | 409    | 2010 |
      | POST   | /call/booking/run          | Fulmar-Idempotent: true | x               | 200    | 1000 |
      | POST   | /call/booking/run          | Fulmar-Idempotent: x    | x               | 400    | 2012 |
      | GET    | /call/booking/sleep/2      | Fulmar-Deadline-Ms: 200 |                 | 504    | 3001 |
      | POST   | /call/booking/sleep/2      | Fulmar-Deadline-Ms: 200 | x               | 504    | 3001 |
      | POST   | /call/booking/partial      | Fulmar-Key: k2          | x               | 502    | 3003 |
      | POST   | /call/booking/partial      | Fulmar-Key: k2          | x               | 409    | 3005 |
      | POST   | /call/booking/mismatch     | Fulmar-Key: k3          | x               | 502    | 3006 |
      | GET    | /nowhere                   |                         |                 | 404    | 2014 |
      | DELETE | /v1/jobs                   |                         |                 | 405    | 2013 |
      | POST   | /v1/jobs                   |                         | {"job"          | 400    | 2012 |
      | POST   | /v1/jobs                   |                         | {"job": "j", "team": "t", "colour": 1} | 400 | 2012 |
      | POST   | /v1/jobs                   |                         | {"job": "j", "team": "t", "needs": {"millicores": -1}} | 400 | 2012 |
      | POST   | /v1/jobs                   |                         | {"job": "j", "team": "t"} | 200 | 1001 |
      | POST   | /v1/jobs                   |                         | {"job": "j", "team": "u"} | 409 | 2010 |
      | GET    | /v1/jobs/none              |                         |                 | 404    | 4005 |
      | POST   | /v1/jobs/cancel            |                         | {"jobs": ["none"]} | 404 | 4005 |
      | POST   | /v1/tickets                |                         | {"number": 0, "items": [{"type": "drain_state", "name": "w", "draining": true}]} | 400 | 2012 |
      | POST   | /v1/tickets                |                         | {"number": 3, "items": []} | 400 | 2012 |
      | POST   | /v1/tickets                |                         | {"number": 3, "items": [{"type": "drain_state", "name": "w", "draining": true}]} | 200 | 1001 |
      | POST   | /v1/tickets                |                         | {"number": 3, "items": [{"type": "drain_state", "name": "w", "draining": false}]} | 409 | 4001 |
      | GET    | /v1/tickets/x              |                         |                 | 400    | 2012 |
      | GET    | /v1/record?from_ms=0&to_ms=1900000000000 |           |                 | 200    | 1000 |
      | GET    | /v1/record?from_ms=x       |                         |                 | 400    | 2012 |
      | POST   | /v1/workers/heartbeat      |                         | {}              | 400    | 2012 |
    And a body over the size limit is refused with code 2011
    And 50 requests one after the other cause no retry
    And a client that sends only half a header does not block others

  Scenario: A graceful stop completes every request in progress
    Given a deployment of 1 keepers and 2 entries
    And a fake endpoint
    When entry "e1" is asked to stop while 5 requests are in progress through it
    Then all 5 requests are answered in full
    And entry "e1" has exited with code 0

  Scenario: An endpoint that leaves gets no new work
    Given a deployment of 1 keepers and 2 entries
    And 2 fake endpoints
    When one endpoint announces that it is leaving under load
    Then it gets no request later than 2.0 seconds after that
    And no request has failed

  Scenario: Open connections stall while new ones work
    Given a deployment of 1 keepers and 1 entries
    And a fake endpoint behind a relay
    When the relay stops forwarding on the open connections
    Then the next 5 idempotent requests are answered
    And the next non-idempotent request is answered
