Feature: Bookings at most once: instances leaving
  A dispatcher books a bay while the instance that runs the booking shuts down. The booking is
  run to its end or is told to be not run; nothing is cut off.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault                  | moment                     |
      | instance shutting down | before forward             |
      | instance shutting down | after forward              |
      | instance shutting down | before dispatch            |
      | instance shutting down | after the request's bytes  |
      | instance shutting down | after execution            |
      | instance shutting down | before the caller's answer |
