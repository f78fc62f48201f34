"""A fleet as a process: says where its registry is, takes commands on standard input, ends with it."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

import uvloop

from badgergap.standins.fleet import Fleet


async def start_apps(count: int, first: int) -> dict[str, str]:
    """Ordinary web applications, at ports from the first on or at any; they end with the process."""
    if not count:
        return {}
    from badgergap.standins.app import App  # its libraries are an extra of their own

    apps = [App(f"web-{number + 1}", port=first + number if first else 0) for number in range(count)]
    for app in apps:
        await app.start()
    return {app.name: app.address for app in apps}


async def run(count: int, plain: bool, etcd: bool, web: int, first: int) -> None:
    fleet = Fleet(count, plain, etcd)
    await fleet.start()
    apps = await start_apps(web, first)
    boxes = {name: box.address for name, box in fleet.boxes.items()}
    endpoints = [f"{host}:{port}" for host, port in fleet.etcd.endpoints] if fleet.etcd is not None else []
    told = {"registry": fleet.registry.address, "etcd": endpoints, "boxes": boxes, "web": apps}
    print(json.dumps(told), flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        try:
            print(await fleet.command(line.decode()), file=sys.stderr, flush=True)
        except (ValueError, OSError) as error:
            print(f"not done: {error}", file=sys.stderr, flush=True)
    fleet.stop()
    if fleet.etcd is not None:
        await fleet.etcd.stop()


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m badgergap.standins", description=__doc__)
    parser.add_argument("--boxes", type=int, default=6)
    parser.add_argument("--plain", action="store_true", help="all boxes warm, and answering at once")
    parser.add_argument("--etcd", action="store_true", help="name the boxes in a stand-in etcd")
    parser.add_argument("--web", type=int, default=0, help="ordinary web applications beside the boxes")
    parser.add_argument("--web-from", type=int, default=0, metavar="PORT", help="the first one's port")
    args = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(args.boxes, args.plain, args.etcd, args.web, args.web_from))


if __name__ == "__main__":
    main()
