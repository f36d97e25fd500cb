Feature: A confirmed configuration is in force everywhere within seconds and never reverts

  Scenario Outline: A change is confirmed while a fault lasts
    Given eight instances and a service in force
    And a plan to change the service
    When the fault "<fault>" begins
    And the plan is confirmed
    Then the confirm <outcome>
    When the fault ends
    And the plan is confirmed again
    Then the change was written once and is in force everywhere
    And no instance went back to an older version

    Examples:
      | fault                       | outcome                                |
      | platform down               | is refused, saying when to come back   |
      | platform slow               | names every instance as in force       |
      | platform slower than calls  | is refused, saying when to come back   |
      | replies lost                | names every instance as in force       |
      | replies unreadable          | names every instance as in force       |
      | watches silent for good     | names every instance as in force       |
      | halves apart                | names the far half as lacking          |
      | an instance dead but listed | names the dead instance as lacking     |
      | instances replaced in turn  | succeeds                               |

  Scenario: One reply is lost right after an outage in which all retries were spent
    Given eight instances and a service in force
    And a plan to change the service
    When the platform goes down
    And the plan is confirmed 5 times in vain
    And the platform comes back
    And the fault "replies unreadable" begins
    And the plan is confirmed
    Then the confirm names every instance as in force
    When the plan is confirmed again
    Then the change was written once and is in force everywhere
    And no instance went back to an older version

  Scenario Outline: A fault comes on top of an outage of the platform
    Given eight instances and a service in force
    And a plan to change the service
    When the platform goes down
    And the fault "<fault>" begins
    And the plan is confirmed
    Then the confirm is refused, saying when to come back
    And searches are still answered
    When the fault ends
    And the platform comes back
    And the plan is confirmed again
    Then the change was written once and is in force everywhere
    And no instance went back to an older version

    Examples:
      | fault                       |
      | watches silent for good     |
      | halves apart                |
      | an instance dead but listed |
      | instances replaced in turn  |
