"""`badgergap` that kills itself at the n-th step of handling keyed requests. For tests only.

    python -m tests.replication.dying NUMBER serve FILE ...

Steps are counted from the first keyed request on. The start and the end of each of these calls is one:
sending or receiving a message, writing to the log, the end of a durable write, starting an attempt, storing
an answer, replying.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

STEPS = [
    ("badgergap.replication.service", "ReplicationService", "_send"),
    ("badgergap.replication.service", "ReplicationService", "_write"),
    ("badgergap.replication.service", "ReplicationService", "_on_durable"),
    ("badgergap.replication.service", "ReplicationService", "_receive"),
    ("badgergap.storage.record_log", "RecordLog", "append"),
    ("badgergap.replication.keyed_attempt", "PendingAttempt", "go"),
    ("badgergap.replication.keyed_request", "KeyedRequest", "store_answer"),
    ("badgergap.replication.keyed_request", "KeyedRequest", "reply"),
]


def main() -> int:
    last = int(sys.argv[1])
    count = {"steps": 0, "on": 0}

    def step() -> None:
        count["steps"] += count["on"]
        if count["on"] and count["steps"] >= last:
            os.kill(os.getpid(), signal.SIGKILL)

    def wrap(kind: Any, name: str) -> None:
        before = getattr(kind, name)

        def call(self: Any, *given: Any, **named: Any) -> Any:
            step()
            result = before(self, *given, **named)
            step()
            return result

        setattr(kind, name, call)

    for module, kind, name in STEPS:
        wrap(getattr(__import__(module, fromlist=[kind]), kind), name)
    from badgergap.replication.idempotency_filter import IdempotencyFilter

    start = IdempotencyFilter.start

    def begin(self: Any, *given: Any) -> bool:
        count["on"] = 1
        return start(self, *given)

    setattr(IdempotencyFilter, "start", begin)  # noqa: B010
    from badgergap.cli.main import main as run

    return run(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
