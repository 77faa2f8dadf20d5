"""Names that leave a process must not change with a rename inside.

Peers, stored data, settings files, dashboards and scripts know them. A new or changed
name is entered in ``docs/OUTER-NAMES.txt`` on purpose:
``PYTHONPATH=. python tests/outer_names.py > docs/OUTER-NAMES.txt``.
"""

import outer_names
import pytest

TITLES = [each for each in outer_names.sections() if each != outer_names.SENTENCES]
LIST = outer_names.ROOT / "docs" / "OUTER-NAMES.txt"


def listed():
    """Return the names of the list by the title of their section, in order."""
    names_by_title = {}
    for line in LIST.read_text().splitlines():
        if line.startswith("# "):
            names = names_by_title.setdefault(line[2:], [])
        elif line:
            names.append(line)
    return names_by_title


@pytest.mark.parametrize("title", TITLES)
def test_the_names_that_leave_a_process_are_those_of_the_list(title):
    assert outer_names.sections()[title] == listed()[title]


def test_the_sentences_of_log_lines_that_others_match_are_still_written():
    assert set(listed()[outer_names.SENTENCES]) <= outer_names.log_sentences()


def test_the_list_has_no_section_that_the_code_does_not_fill():
    assert list(listed()) == list(outer_names.sections())
