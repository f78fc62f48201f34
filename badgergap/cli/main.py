"""The command line."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import badgergap
from badgergap.admin import AdminError, NoAnswer, NoGateway, Snapshot, call, default_socket
from badgergap.admin.protocol import (
    VERSION,
    ActionResult,
    AskGroup,
    AskSnapshot,
    Drain,
    ProtocolError,
    Request,
    Undrain,
)
from badgergap.cli import copies_words, staged_words
from badgergap.cli.group_words import add_commands
from badgergap.cli.serve import check, serve
from badgergap.proxy.lifecycle.config import ConfigError
from badgergap.site import read_site

EPILOG = """\
exit codes:
  0  done
  1  not done: the gateway refused, or could not start
  2  the command or a file cannot be used; one line says where
  3  no gateway answers at the socket
  4  the gateway's answer was lost: ask `badgergap status` whether it happened

The admin socket is the one of --socket, else the `admin` of --file, else $BADGERGAP_SOCKET, else
badgergap.sock in $XDG_RUNTIME_DIR, else admin.sock in a folder of yours under the temporary folder.

Try it: `badgergap demo` needs nothing else.
"""

REFUSED, UNUSABLE, NOBODY, UNSURE = 1, 2, 3, 4
STEER_S = 7.0  # for a host by hand: its disk, and where there is a group all who act
GROUP_S = 20.0  # for what a whole group has to agree on
SNAPSHOT_S = 300.0  # for all that is kept to be written, or put back

T = TypeVar("T")


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="badgergap",
        description="A gateway in front of HTTP servers that start cold, drain, hang and die.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"badgergap {badgergap.__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    demo = commands.add_parser("demo", help="a whole site on this machine: boxes, gateway, clients, console")
    demo.add_argument("--no-console", action="store_true", help="print a status line a second instead")
    demo.add_argument("--seconds", type=_seconds, default=0.0, help="end after so long; 0: at q or Ctrl-C")
    demo.add_argument("--rate", type=_rate, default=60.0, help="requests a second of the clients (1 to 2000)")
    demo.add_argument("--boxes", type=_boxes, default=6, help="how many boxes (2 to 200)")

    demo.add_argument("--etcd", action="store_true", help="name the boxes in a stand-in etcd, and follow it")

    for name, text in (("serve", "run a gateway from an operator file"), ("check", "check an operator file")):
        command = commands.add_parser(name, help=text)
        command.add_argument("file", type=Path, metavar="FILE", help="the operator file, TOML")
        if name == "serve":
            command.add_argument("--until-stdin-ends", action="store_true", help=argparse.SUPPRESS)

    route = commands.add_parser("route", help="say which route of an operator file a request takes, and why")
    route.add_argument("file", type=Path, metavar="FILE", help="the operator file, TOML")
    route.add_argument("method", metavar="METHOD")
    route.add_argument("url", metavar="URL", help="a whole URL, or a path")
    route.add_argument("-H", "--header", action="append", default=[], metavar="NAME: VALUE")

    console = _to_gateway(commands.add_parser("console", help="see and steer the gateway from this terminal"))
    console.add_argument("--ascii", action="store_true", help="draw plots with digits")

    status = _to_gateway(commands.add_parser("status", help="print what the gateway does, once"))
    status.add_argument("--json", action="store_true", help="as JSON, for programs")

    drain = _to_gateway(commands.add_parser("drain", help="give a box nothing new, until undrained"))
    drain.add_argument("--even-last", action="store_true", help="also if no other box would be left to serve")
    undrain = _to_gateway(commands.add_parser("undrain", help="let a box that was drained serve again"))
    for command in (drain, undrain):
        command.add_argument("box", metavar="BOX", help="the box's name, as status shows it")
        command.add_argument(
            "--action", default="", help="a name for this wish: sent again, it is not repeated"
        )
    add_commands(commands, _to_gateway)
    copies_words.add_commands(commands, _to_gateway)
    staged_words.add_commands(commands, _to_gateway)
    for command in (console, drain, undrain):
        command.add_argument("--by", default="", help="who wishes it, for the log (default: your user name)")
    return parser


def main(arguments: list[str] | None = None) -> int:
    args = build_parser().parse_args(arguments)
    try:
        match args.command:
            case "serve":
                return serve(args.file, os.environ, args.until_stdin_ends)
            case "check":
                print(check(args.file, os.environ))
                return 0
            case "route":
                from badgergap.cli.route import explain

                told, found = explain(args.file, args.method, args.url, args.header)
                print(told)
                return 0 if found else REFUSED
            case "demo":
                from badgergap.cli.demo import demo  # the stand-ins, which a gateway never imports

                return demo(args.boxes, args.rate, args.seconds, console=not args.no_console, etcd=args.etcd)
            case "group" | "settings":
                return of_group(args)
            case "copies":
                return of_copies(args)
            case "change":
                return of_change(args)
            case "console":
                return console(_socket(args), args.by or user(), args.ascii)
            case "status":
                return status(_socket(args), args.json)
            case _:
                return steer(args)
    except ConfigError as error:
        print(f"badgergap: {error}", file=sys.stderr)
        return UNUSABLE
    except KeyboardInterrupt:
        return 130


def status(path: Path, as_json: bool) -> int:
    from badgergap.console.words import status_text

    snapshot = _call(path, AskSnapshot(v=VERSION, id="1"), Snapshot)
    if isinstance(snapshot, int):
        return snapshot
    if as_json:
        import json

        from msgspec import to_builtins

        print(json.dumps(to_builtins(snapshot), indent=1, ensure_ascii=True))
    else:
        print(status_text(snapshot))
    return 0


def steer(args: argparse.Namespace) -> int:
    import uuid

    from badgergap.console.words import result_words

    action, by = args.action or uuid.uuid4().hex, args.by or user()
    request: Request
    try:
        if args.command == "drain":
            request = Drain(v=VERSION, id="1", box=args.box, by=by, action=action, even_last=args.even_last)
        else:
            request = Undrain(v=VERSION, id="1", box=args.box, by=by, action=action)
        result = _call(_socket(args), request, ActionResult, timeout_s=STEER_S)
    except UnicodeEncodeError:
        print("badgergap: the box's name is no text", file=sys.stderr)
        return UNUSABLE
    if isinstance(result, int):
        return result
    print("\n".join(result_words(result)))
    return REFUSED if result.not_agreed else 0


def of_group(args: argparse.Namespace) -> int:
    from badgergap.cli import group_words as group

    if args.command == "group" and args.do == "key":
        group.make_key(args.path)
        return 0
    if args.command == "group" and args.do == "sample":
        print(group.write_sample(args.path))
        return 0
    op, given = group.arguments_of(args, user())
    return _ask_group(args, op, given, group.words, GROUP_S + float(given.get("within_s", 0.0)))


def of_copies(args: argparse.Namespace) -> int:
    from badgergap.cli import copies_words as copies

    if args.do == "verify":
        print(copies.verify(args.path))
        return 0
    op, given = copies.arguments_of(args)
    return _ask_group(args, op, given, copies.words, SNAPSHOT_S)


def of_change(args: argparse.Namespace) -> int:
    from badgergap.cli import staged_words as changes

    op, given = changes.arguments_of(args, user())
    if args.do == "report":
        from badgergap.cli.staged_report import write

        return _ask_group(args, op, given, lambda _, result: write(args.path, result), GROUP_S)
    return _ask_group(args, op, given, changes.words, GROUP_S)


def _ask_group(
    args: argparse.Namespace,
    op: str,
    given: dict[str, Any],
    words: Callable[[str, Mapping[str, Any]], tuple[str, bool]],
    within_s: float,
) -> int:
    request = AskGroup(v=VERSION, id="1", op=op, given=given)
    result = _call(_socket(args), request, dict, timeout_s=within_s)
    if isinstance(result, int):
        return result
    if getattr(args, "json", False):
        import json

        print(json.dumps(result, indent=1, ensure_ascii=True))
        return 0 if result.get("ok") else REFUSED
    text, well = words(op, result)
    print(text)
    return 0 if well else REFUSED


def console(path: Path, by: str, ascii_only: bool) -> int:
    if not (sys.stdin.isatty() and sys.stdout.isatty()):
        print("badgergap: the console needs a terminal; `badgergap status` does not", file=sys.stderr)
        return UNUSABLE
    try:
        from badgergap.console.app import Console
    except ModuleNotFoundError as error:
        why = f"{error.name} is missing: pip install 'badgergap[console]'"
        print(f"badgergap: the console needs its extra, {why}", file=sys.stderr)
        return UNUSABLE

    encoding = (sys.stdout.encoding or "").lower().replace("-", "")
    Console(path, by, ascii_only=ascii_only or encoding != "utf8").run(mouse=False)
    return 0


def user() -> str:
    import getpass

    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"user {os.getuid()}"


def _call(path: Path, request: Request, kind: type[T], timeout_s: float = 5.0) -> T | int:
    """The result, or the exit code once the line that says why is printed."""
    try:
        return call(path, request, kind, timeout_s)
    except NoGateway as error:
        code, why = NOBODY, str(error)
    except NoAnswer as error:
        code, why = UNSURE, str(error)
    except (AdminError, ProtocolError) as error:
        code, why = REFUSED, str(error)
    from badgergap.console.words import clean

    print(f"badgergap: {clean(why)}", file=sys.stderr)
    return code


def _to_gateway(command: argparse.ArgumentParser) -> argparse.ArgumentParser:
    where = command.add_mutually_exclusive_group()
    where.add_argument("--socket", type=Path, help="the gateway's admin socket")
    where.add_argument("--file", type=Path, help="the gateway's operator file, which names the socket")
    return command


def _socket(args: argparse.Namespace) -> Path:
    if args.socket is not None:
        return Path(args.socket)
    if args.file is not None:
        site = read_site(args.file)
        if site.site.admin is not None:
            return Path(args.file).parent / site.site.admin
    return default_socket(os.environ)


def _number(text: str, least: float, most: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not least <= value <= most:
        raise argparse.ArgumentTypeError(f"{text!r} is no number from {least:g} to {most:g}")
    return value


def _seconds(text: str) -> float:
    return _number(text, 0, 86_400)


def _rate(text: str) -> float:
    return _number(text, 1, 2000)


def _boxes(text: str) -> int:
    return int(_number(text, 2, 200))
