"""Measurements, each against a baseline of the same run. Not part of the tests: they want a quiet machine."""
