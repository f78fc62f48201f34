"""Operator commands at the second address."""
