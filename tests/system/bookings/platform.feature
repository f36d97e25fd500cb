Feature: Bookings at most once: platform
  The platform's store is down while a booking runs; bookings don't need it.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault         | moment                     |
      | platform down | before forward             |
      | platform down | after forward              |
      | platform down | before dispatch            |
      | platform down | after the request's bytes  |
      | platform down | after execution            |
      | platform down | before the caller's answer |
