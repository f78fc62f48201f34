"""The root of all errors that this package raises on purpose."""

from __future__ import annotations


class BadgergapError(Exception):
    """Something that the caller may handle went wrong; the message says what.

    Each package derives its own classes from it. One that replaces a built-in exception keeps that as a
    second base, so that callers which catch `ValueError` or `OSError` still do.
    """
