"""Every error kind has a valid answer, and errors print their code and detail."""

import pytest

from tamarackhaven.errors import (
    ANSWER_BY_KIND,
    ErrorKind,
    Ran,
    Repeat,
    TamarackhavenError,
)


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_error_kind_has_a_valid_answer(kind):
    answer = ANSWER_BY_KIND[kind]
    assert 400 <= answer.http_status <= 599
    assert 1 <= answer.exit_code <= 125
    assert answer.sentence.endswith(".")


@pytest.mark.parametrize("kind", ErrorKind)
def test_unconditional_retry_is_offered_only_if_request_did_not_run(kind):
    answer = ANSWER_BY_KIND[kind]
    if answer.repeat is Repeat.LATER:
        assert answer.ran is Ran.NO


def test_error_text_contains_code_name_and_detail():
    text = str(TamarackhavenError(ErrorKind.NO_OWNER, "shard 3"))
    assert text.startswith("TH201 NO_OWNER:")
    assert text.endswith("shard 3")
