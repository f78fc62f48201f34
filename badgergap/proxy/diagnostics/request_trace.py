"""The trace of one request: its state transitions with their times, logged if the request is unusual."""

from __future__ import annotations

US_PER_MS = 1000.0


class RequestTrace:
    """The steps of one request. Recording is cheap: steps are formatted only if the request is logged."""

    __slots__ = ("_steps", "client_id", "is_unusual")

    def __init__(self, client_id: str = "") -> None:
        """`client_id`: the Request-Id that the client and the endpoints use."""
        self.client_id = client_id
        self.is_unusual = False  # did not succeed at its first attempt
        self._steps: list[tuple[int, str, tuple[object, ...]]] = []

    def note(self, at_us: int, step: str, *values: object) -> None:
        """Add a step at `at_us`, in microseconds of the gateway's clock; `step` is a %-format of `values`."""
        self._steps.append((at_us, step, values))

    def render(self) -> str:
        """Return the steps in order, each with the milliseconds since the first one."""
        if not self._steps:
            return ""
        began_us = self._steps[0][0]
        return "; ".join(
            f"+{(at_us - began_us) / US_PER_MS:.1f} {step % values}" for at_us, step, values in self._steps
        )
