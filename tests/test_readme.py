"""The README's example runs as printed."""

import re
from pathlib import Path

from badgergap.balancing.interface import Send


def test_the_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, flags=re.S)
    names: dict[str, object] = {}
    exec(code, names)
    send = names["send"]
    assert isinstance(send, Send) and send.endpoint_id in (1, 2)
    assert not names["balancer"].requests  # type: ignore[attr-defined]
