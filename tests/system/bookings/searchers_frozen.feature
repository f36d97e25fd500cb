Feature: Bookings at most once: searchers frozen
  A searcher is paused with a booking in its socket, and runs it when it goes on, unless the
  token was voided before. Two trucks stand at one bay if somebody took its silence for proof.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then every instance gives the same final answer
    And the booking ran exactly as often as was told

    Examples:
      | fault           | moment                     |
      | searcher frozen | before forward             |
      | searcher frozen | after forward              |
      | searcher frozen | before dispatch            |
      | searcher frozen | after the request's bytes  |
      | searcher frozen | after execution            |
      | searcher frozen | before the caller's answer |
