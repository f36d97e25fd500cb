Feature: Bookings at most once: connections cut
  The connection that carries a booking or its reply is cut.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault          | moment                     |
      | connection cut | before forward             |
      | connection cut | after forward              |
      | connection cut | before dispatch            |
      | connection cut | after the request's bytes  |
      | connection cut | after execution            |
      | connection cut | before the caller's answer |
