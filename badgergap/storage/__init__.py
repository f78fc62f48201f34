"""A write-ahead log on local disk: checksummed batches, a random identity chosen at creation, and one
fsync per group of records, made off the event loop.

`record_format` defines the bytes, `files` the system calls, `record_log` one log in one folder, and
`background_writer` the thread that writes it, `log_session` a log with its writer and the messages that wait
for writes, and `errors` the exceptions.
"""
