Feature: Bookings at most once: instances frozen
  A dispatcher books a bay, and the instance that runs the booking is paused. Others
  answer for it. It goes on later, with the booking still in its sockets and threads.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault           | moment                     |
      | instance frozen | before forward             |
      | instance frozen | after forward              |
      | instance frozen | before dispatch            |
      | instance frozen | after the request's bytes  |
      | instance frozen | after execution            |
      | instance frozen | before the caller's answer |
