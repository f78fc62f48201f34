"""`badgergap demo`: a whole site on this machine. Boxes and clients, the gateway, the console in front.

Three processes: this one, the gateway as `badgergap serve` runs it, and the stand-ins. The other two end with
their standard input, so nothing is left running however this one ends.
"""

from __future__ import annotations

import contextlib
import importlib.util
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import IO

from badgergap.admin import AdminError, NoAnswer, NoGateway, Snapshot, call, default_socket
from badgergap.admin.protocol import VERSION, AskSnapshot, ProtocolError
from badgergap.console.words import percent, summary
from badgergap.proxy.lifecycle.config import ConfigError

START_S = 15.0
END_S = 6.0
HTTP_LINE = "serves HTTP on "

SITE = """\
[site]
name = "demo"
admin = "{admin}"
listen = "127.0.0.1:0"
state = "state"
{discovery}

[http]
listen = "127.0.0.1:0"

{etcd}
[fleet]
start_capacity = 0.15
warm_after = "12s"

[[class]]
name = "result-entry"
wanted_within = "500ms"
given_up_after = "1.2s"
worth = 12
repeats = "safe"

[[class]]
name = "standings"
wanted_within = "500ms"
given_up_after = "1.2s"
repeats = "safe"

[[class]]
name = "deck-check"
wanted_within = "2s"
given_up_after = "4s"
repeats = "safe"

[[class]]
name = "pages"
wanted_within = "1s"
given_up_after = "10s"
repeats = "by-method"

[[route]]
name = "everything"
class = "pages"
pool = "web"

[[pool]]
name = "web"
"""
BOX = """
[[box]]
name = "{name}"
address = "{address}"
pool = "web"
"""
WEB = 2  # ordinary web applications
SHOWN_S = 2.0  # for which the demo's addresses stand before the console covers them


class DemoError(Exception):
    """A part of the demo did not start."""


class Demo:
    def __init__(self, folder: Path, boxes: int, rate: float, etcd: bool) -> None:
        self.folder = folder
        self.boxes, self.rate, self.etcd = boxes, rate, etcd
        self.children: list[subprocess.Popen[str]] = []
        self.stage: subprocess.Popen[str] | None = None
        self.socket = _free_socket(folder)
        self.http = ""  # where the web pool is served

    def start(self) -> None:
        """Raises DemoError."""
        arguments = ["--boxes", str(self.boxes), "--web", str(WEB), *["--etcd"] * self.etcd]
        self.stage = self._child("badgergap.standins", *arguments, log="stand-ins.log")
        assert self.stage.stdout is not None
        line = self.stage.stdout.readline()
        if not line:
            raise DemoError("the stand-ins did not start")
        site = self.folder / "demo.toml"
        told = json.loads(line)
        if self.etcd:
            table = f"[etcd]\nendpoints = {json.dumps(told['etcd'])}\n"
            text = SITE.format(admin=self.socket, discovery="", etcd=table)
        else:
            discovery = f'discovery = "{told["registry"]}"'
            text = SITE.format(admin=self.socket, discovery=discovery, etcd="")
        site.write_text(text + "".join(BOX.format(name=n, address=a) for n, a in told["web"].items()))
        self._child("badgergap.cli", "serve", str(site), "--until-stdin-ends", log="gateway.log")
        listen = self._await_gateway()
        self.tell(f"load {listen} {self.rate}")
        served = [line for line in self._log().splitlines() if HTTP_LINE in line]
        self.http = served[0].rpartition(HTTP_LINE)[2] if served else ""

    def _log(self) -> str:
        return (self.folder / "gateway.log").read_text()

    def where(self) -> str:
        """What to try from another terminal."""
        page = f"A web page through the gateway: curl http://{self.http}/"
        return f"{page}\nFrom another terminal: {self._status()}"

    def _status(self) -> str:
        default = self.socket == default_socket(os.environ)
        return "badgergap status" if default else f"badgergap status --socket {self.socket}"

    def _child(self, module: str, *arguments: str, log: str) -> subprocess.Popen[str]:
        with (self.folder / log).open("w") as out:
            child = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=out,
                text=True,
                bufsize=1,
                env={k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")},
                start_new_session=True,  # Ctrl-C in the terminal is this process's to heed
            )
        self.children.append(child)
        return child

    def _await_gateway(self) -> str:
        until = time.monotonic() + START_S
        while time.monotonic() < until and self.children[-1].poll() is None:
            try:
                snapshot = self.look()
            except AdminError as error:
                raise DemoError(str(error)) from None
            except (NoGateway, NoAnswer, ProtocolError):
                time.sleep(0.05)
                continue
            if any(not box.pool for box in snapshot.boxes) and HTTP_LINE in self._log():
                return snapshot.listen
            time.sleep(0.05)
        raise DemoError(f"the gateway did not start: {self._log()[-500:]}")

    def look(self) -> Snapshot:
        return call(self.socket, AskSnapshot(v=VERSION, id="1"), Snapshot, timeout_s=2.0)

    def tell(self, line: str) -> None:
        """A command to the stand-ins; lost if they have ended."""
        stdin = self.stage.stdin if self.stage is not None else None
        if stdin is not None:
            try:
                stdin.write(line + "\n")
                stdin.flush()
            except OSError:
                pass

    def stop(self) -> None:
        for child in self.children:
            for pipe in (child.stdin, child.stdout):
                _close(pipe)
        until = time.monotonic() + END_S
        for child in self.children:
            try:
                child.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


def demo(boxes: int, rate: float, seconds: float, console: bool, etcd: bool) -> int:
    """Run the demo; returns the exit code."""
    for name in ("h11", "wsproto", *["grpclib"] * etcd):
        if importlib.util.find_spec(name) is None:
            why = f"{name} is missing: pip install 'badgergap[all]'"
            raise ConfigError(f"the demo needs its extras, {why}")
    console = console and sys.stdin.isatty() and sys.stdout.isatty()
    signal.signal(signal.SIGTERM, _interrupt)
    with tempfile.TemporaryDirectory(prefix="badgergap-demo-") as name:
        show = Demo(Path(name), boxes, rate, etcd)
        try:
            show.start()
            print(show.where(), flush=True)
            if console:
                time.sleep(SHOWN_S)
                _console(show)
            else:
                _lines(show, seconds)
        except DemoError as error:
            print(f"badgergap: {error}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            pass
        finally:
            signal.signal(signal.SIGINT, signal.SIG_IGN)  # a second Ctrl-C must not leave anything running
            show.stop()
    print("The demo has ended; nothing of it is left running.")
    return 0


def _free_socket(folder: Path) -> Path:
    """Where `badgergap status` looks by itself, unless another gateway is there."""
    path = default_socket(os.environ)
    try:
        call(path, AskSnapshot(v=VERSION, id="1"), Snapshot, timeout_s=1.0)
    except NoGateway:
        return path
    except (NoAnswer, AdminError, ProtocolError):
        pass
    return folder / "admin.sock"


def _console(show: Demo) -> None:
    from badgergap.console.app import Console

    def end_or_revive(box: str) -> None:
        show.tell(f"toggle {box}")

    Console(show.socket, "demo", on_break=end_or_revive).run(mouse=False)


def _lines(show: Demo, seconds: float) -> None:
    """A status line a second."""
    until = time.monotonic() + seconds if seconds else float("inf")
    while time.monotonic() < until:
        try:
            snapshot = show.look()
        except (NoGateway, NoAnswer, AdminError, ProtocolError) as error:
            print(f"no word from the gateway: {error}", flush=True)
        else:
            service = ", ".join(
                f"{c.name} {percent(c.windows[0].in_time, c.windows[0].asked)} % in time"
                for c in snapshot.classes
            )
            print(f"{service}; {snapshot.open} in work; boxes: {summary(snapshot.boxes)}", flush=True)
        time.sleep(max(0.0, min(1.0, until - time.monotonic())))


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def _close(pipe: IO[str] | None) -> None:
    if pipe is not None:
        with contextlib.suppress(OSError):
            pipe.close()
