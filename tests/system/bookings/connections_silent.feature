Feature: Bookings at most once: connections silent
  The connection that carries a booking or its reply goes silent for good, while new ones work.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault             | moment                     |
      | connection silent | before forward             |
      | connection silent | after forward              |
      | connection silent | before dispatch            |
      | connection silent | after the request's bytes  |
      | connection silent | after execution            |
      | connection silent | before the caller's answer |
