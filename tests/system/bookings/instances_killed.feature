Feature: Bookings at most once: instances killed
  A dispatcher books a bay through one instance, whose token names another. That one is killed,
  and the dispatcher asks again, sends again, and gets a new run of the instance.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault           | moment                     |
      | instance killed | before forward             |
      | instance killed | after forward              |
      | instance killed | before dispatch            |
      | instance killed | after the request's bytes  |
      | instance killed | after execution            |
      | instance killed | before the caller's answer |
