@settings
Feature: Mistakes in settings end a process with a code
  A wrong setting must be told at the start, with the file and the key, and nothing may
  be left running or half started. An operator reads the sentence, a script the code.

  Scenario Outline: the settings of a <role> are wrong
    The file is read and checked whole before any port is opened or folder created.
    When a <role> starts with "<old>" replaced by "<new>" in its settings
    Then it ends with <code> and tells "<kind>", the file and "<key>"

    Examples:
      | role    | old             | new                | code | kind                       | key             |
      | daemon  | target =        | tagret =           | 82   | TH704 SETTINGS_UNKNOWN_KEY | tagret          |
      | daemon  | service = "     | service = 5 # "    | 83   | TH705 SETTINGS_WRONG_TYPE  | service         |
      | daemon  | port =          | port = 70000 #     | 84   | TH706 SETTINGS_OUT_OF_RANGE | port           |
      | control | name =          | nmae =             | 82   | TH704 SETTINGS_UNKNOWN_KEY | nmae            |
      | control | zone = "a"      | zone = true        | 83   | TH705 SETTINGS_WRONG_TYPE  | zone            |
      | control | name = "c1"     | name = "c9"        | 84   | TH706 SETTINGS_OUT_OF_RANGE | name           |
      | control | zone = "a"      | zone = "a          | 81   | TH703 SETTINGS_SYNTAX      | line 2          |

  Scenario: the settings file is missing
    The path is wrong, so there is nothing to check.
    When a daemon starts with a settings file that is not there
    Then it ends with 80 and tells "TH702 SETTINGS_MISSING", the file and "No such file"

  Scenario Outline: a port of a <role> is taken
    Another process listens there. Serving on the other ports only would leave callers
    or peers without an answer, so nothing is served.
    When a <role> starts while its "<port>" port is taken
    Then it ends with 85 and tells "TH707 PORT_TAKEN" and that port

    Examples:
      | role    | port    |
      | daemon  | caller  |
      | daemon  | peer    |
      | daemon  | metrics |
      | control | port    |
      | control | metrics |
      | control | lease   |

  Scenario: two processes use one data folder
    The second would write into the first one's log and vote in its name.
    When a control VM runs and a second process starts on its folder
    Then it ends with 90 and tells "TH708 FOLDER_LOCKED" and the folder
    And the first one still runs
