"""The story of one request: its state transitions with their times, written to the log if it is unusual."""

from __future__ import annotations

US_PER_MS = 1000.0


class RequestTrace:
    """Steps of one request. Noting one is cheap; they are rendered only where the request is logged."""

    __slots__ = ("_steps", "client_id", "is_unusual")

    def __init__(self, client_id: str = "") -> None:
        """`client_id`: the Request-Id that the client and the endpoints know it by."""
        self.client_id = client_id
        self.is_unusual = False  # it did not simply succeed at its first attempt
        self._steps: list[tuple[int, str, tuple[object, ...]]] = []

    def note(self, at_us: int, step: str, *values: object) -> None:
        """Add a step at `at_us` (microseconds of the gateway's clock); `step` is a %-format of `values`."""
        self._steps.append((at_us, step, values))

    def render(self) -> str:
        """Return the steps in order, each with the milliseconds since the first."""
        if not self._steps:
            return ""
        began_us = self._steps[0][0]
        return "; ".join(
            f"+{(at_us - began_us) / US_PER_MS:.1f} {step % values}" for at_us, step, values in self._steps
        )
