Feature: settings of a node

  Scenario Outline: the error for invalid settings names the field
    When the platform's settings have <fault>
    Then the error names <field>

    Examples:
      | fault                  | field                |
      | no listen addresses    | listen.datagram_addr |
      | no store               | platform.address     |
      | text as a time limit   | bounds.drain_ms      |
      | no ports between hosts | internal_ports       |

  Scenario: unknown settings are ignored
    When the platform's settings have an unknown field
    Then the platform's settings are accepted

  Scenario: an invalid seed is ignored
    When the platform's settings have a seed that is not an address
    Then the platform's settings are accepted
    And the other seeds are kept

  Scenario: a new address of the store is used without a restart
    Guards against nodes that go on reading at the old address until they learn of nothing
    any more.
    Given a node that reads a store with configuration version 4
    When the settings name the address of a store with configuration version 6
    Then the node has version 6 within 2 s
    And the old address gets no further calls

  Scenario: a read in progress at the old address of the store is not used
    Guards against an answer of the old address that replaces newer news.
    Given a node that reads a store with configuration version 4
    When the old address answers a read only after the settings have changed
    Then the read fails and the next one asks the new address

  Scenario: settings that need a restart are named in the log
    Given a node that reads a store with configuration version 4
    When the settings have another zone, another port and another time limit of drains
    Then the log names the settings that need a restart
    And the time limit of drains is in force

  Scenario: peers are told a new address of the store with the former one
    Guards against hosts that take each other for foreign while their settings change.
    Given a node that reads a store with configuration version 4
    When the settings name another address of the store
    Then the node tells its peers the new address, then the former one

  Scenario Outline: an environment that is <name> is called <result>
    When the settings are read with the environment <name>
    Then the node's environment is <result>

    Examples:
      | name       | result          |
      | unnamed    | 10.200.1.7:8169 |
      | production | production      |

  Scenario: a settings file of any size takes a bounded memory
    Guards against a file that fills the memory of a node that rereads it.
    When a settings file of 50000000 bytes is loaded
    Then it is refused with its path and at most 8 MiB were taken
