"""The module stays one readable file."""

from pathlib import Path

MODULE = Path(__file__).parents[2] / "badgergap" / "balancing" / "balancer.py"


def test_the_module_holds_at_most_1200_lines_of_110_characters() -> None:
    lines = [line for line in MODULE.read_text().splitlines() if line.strip()]
    assert 0 < len(lines) <= 1200
    assert max(map(len, lines)) <= 110
