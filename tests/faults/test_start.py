"""A real gateway process that gets signals as it starts."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tomllib
from pathlib import Path

import pytest

from badgergap.standins.load import Kind
from badgergap.standins.platform import Platform, settings_of
from tests.sockets import run

KINDS = (Kind("look", "safe", 0.5, 2.0),)
DEPLOY = Path(__file__).parents[2] / "deploy" / "balancer.toml"
READY_S = 20.0


def command() -> str:
    """The command of the deploy file, with the interpreter of the tests."""
    run_line = str(tomllib.loads(DEPLOY.read_text())["run"])
    assert ".venv/bin/python" in run_line
    return run_line.replace(".venv/bin/python", sys.executable)


# Guards against a gateway that a new configuration ends as it starts: until the interpreter is up, SIGHUP has
# its default action.
@pytest.mark.parametrize("after_s", [0.004, 0.008, 0.012, 0.016, 0.03, 0.1])
def test_sighup_in_the_first_moments_does_not_end_the_process(after_s: float, tmp_path: Path) -> None:
    async def test() -> None:
        async with Platform(tmp_path, KINDS, settings=settings_of(KINDS)) as platform:
            (gateway,) = platform.gateways
            await gateway.end()
            process = await asyncio.create_subprocess_shell(
                command(),
                env={**os.environ, "ROUTER_CONFIG": str(gateway.config_file)},
                stderr=asyncio.subprocess.DEVNULL,
                cwd=DEPLOY.parents[1],
            )
            await until_executed(process.pid)
            await asyncio.sleep(after_s)
            gateway.config_file.write_text(json.dumps(platform.configuration(gateway)))
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(READY_S):
                while process.returncode is None and not await gateway.is_ready():
                    await asyncio.sleep(0.02)
            assert process.returncode is None, "it was ended by the signal"
            process.kill()
            await process.wait()

    run(test(), READY_S + 10.0)


async def until_executed(pid: int) -> None:
    """Wait until the shell has become the interpreter."""
    while sys.executable.encode() not in Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")[0]:
        await asyncio.sleep(0.0)
