"""Reads the numbers that other processes write, within bounds. Pure."""

import math
import re

# Digits that ``int`` converts without an error, and more than any number here needs.
_DIGITS = re.compile(r"[0-9]{1,400}")


def read_digits(text, limit):
    """Return a whole number from text; ``limit`` if it's larger, None if it's none.

    Parameters
    ----------
    text : str
        A header's value.
    limit : int
        The largest number that makes sense.
    """
    if not _DIGITS.fullmatch(text):
        return None
    return min(int(text), limit)


def checked_count(name, value, low, high):
    """Return ``value`` as an int from ``low`` to ``high``.

    Raises
    ------
    ValueError
        With the name, if it's no such number.
    """
    try:
        number = int(value)
    except (TypeError, OverflowError, ValueError):
        number = None
    if number is None or not low <= number <= high:
        raise ValueError(f"{name} must be a whole number from {low} to {high}")
    return number


def checked_seconds(name, value, high):
    """Return ``value`` as a float from 0 to ``high`` seconds.

    Raises
    ------
    ValueError
        With the name, if it's no such number.
    """
    try:
        number = float(value)
    except (TypeError, OverflowError, ValueError):
        number = math.nan
    if not 0 <= number <= high:
        raise ValueError(f"{name} must be a number of seconds from 0 to {high}")
    return number
