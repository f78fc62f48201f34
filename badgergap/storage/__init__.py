"""A log of records on disk: checksummed, its identity drawn at creation, written by groups off the event
loop."""
