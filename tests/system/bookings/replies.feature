Feature: Bookings at most once: replies
  A reply to a booking comes short, late or for another booking.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault           | moment                     |
      | reply truncated | after the request's bytes  |
      | reply truncated | after execution            |
      | reply truncated | before the caller's answer |
      | reply late      | after execution            |
      | reply late      | before the caller's answer |
      | reply crossed   | after the request's bytes  |
      | reply crossed   | after execution            |
