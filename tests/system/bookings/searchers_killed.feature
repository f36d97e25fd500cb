Feature: Bookings at most once: searchers killed
  A searcher is killed with a booking on its way to it or done in it. Where nobody else can
  know what became of the booking, its outcome is unknown and nothing else is said.

  Scenario Outline: <fault> <moment>
    Given a booking that is held "<moment>"
    When "<fault>" strikes
    And the same booking is sent again to every instance
    Then no instance gives an answer that is not true
    And the booking ran exactly as often as was told

    Examples:
      | fault           | moment                     |
      | searcher killed | before forward             |
      | searcher killed | after forward              |
      | searcher killed | before dispatch            |
      | searcher killed | after the request's bytes  |
      | searcher killed | after execution            |
      | searcher killed | before the caller's answer |
