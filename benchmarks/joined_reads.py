"""What joining identical reads saves and costs: the same bursts with joining on and off, in pairs of one run.

    python -m benchmarks.joined_reads [--rounds 3] [--plot joined.png]

Bursts of 1, 10 and 500 alike, and of 500 with nothing alike; a box answers 20 ms after it was asked. Given
are medians over the rounds; CPU is the gateway's. Gateway, boxes and clients are processes of their own. The
plot needs matplotlib (extra `plots`).
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.common import GATEWAY_CPU, child, cpu_s, memory_mb

BOX = """
import asyncio, sys
count = 0
BODY = b"x" * 20000
async def serve(reader, writer):
    global count
    try:
        while True:
            head = await reader.readuntil(b"\\r\\n\\r\\n")
            if head.startswith(b"GET /count"):
                body = b"%d" % count
            else:
                count += 1
                await asyncio.sleep(0.02)
                body = BODY
            writer.write(b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n" % len(body) + body)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1024)
    print("box", server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(3600)
asyncio.run(main())
"""

CLIENTS = """
import asyncio, json, sys, time
port, number, alike, bursts = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3] == "alike", int(sys.argv[4])
took, bad = [], 0
async def one(link, n):
    global bad
    began = time.monotonic()
    target = "/standings" if alike else f"/standings?of={n}"
    link[1].write(f"GET {target} HTTP/1.1\\r\\nHost: store\\r\\nUser-Agent: {n}\\r\\n\\r\\n".encode())
    head = await link[0].readuntil(b"\\r\\n\\r\\n")
    size = int(head.lower().partition(b"content-length: ")[2].split(b"\\r")[0])
    await link[0].readexactly(size)
    bad += head[9:12] != b"200"
    took.append(time.monotonic() - began)
async def main():
    links = [await asyncio.open_connection("127.0.0.1", port) for _ in range(number)]
    for burst in range(bursts):
        await asyncio.gather(*(one(link, n + burst * number) for n, link in enumerate(links)))
    took.sort()
    at = lambda p: 1000 * took[min(len(took) - 1, int(len(took) * p))]
    print(json.dumps({"p50": at(0.5), "p99": at(0.99), "bad": bad, "all": len(took)}))
asyncio.run(main())
"""

SITE = """
[site]
name = "bench"
[http]
listen = "127.0.0.1:0"
[limits]
sockets = 4096
[fleet]
at_once = 1000
[[class]]
name = "pages"
wanted_within = "5s"
given_up_after = "10s"
repeats = "safe"
[[route]]
name = "all"
class = "pages"
join = {join}
"""
CASES = ((1, "alike", 200), (10, "alike", 50), (500, "alike", 6), (500, "apart", 3))


def play(number: int, alike: str, bursts: int, join: bool) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder, child("-c", BOX, ready="box", cpu=2) as (_, line, _t):
        port = int(line.split()[1])
        path = Path(folder) / "site.toml"
        text = SITE.replace("{join}", str(join).lower())
        path.write_text(text + f'[[box]]\nname = "b"\naddress = "127.0.0.1:{port}"\n')
        arguments = (
            "-c",
            "from badgergap.cli.main import main; raise SystemExit(main())",
            "serve",
            str(path),
        )
        with child(*arguments, ready="serves HTTP", cpu=GATEWAY_CPU) as (gateway, said, _took):
            at = said.rpartition(":")[2]
            before = cpu_s(gateway.pid)
            command = [sys.executable, "-c", CLIENTS, at, str(number), alike, str(bursts)]
            found: dict[str, float] = json.loads(subprocess.check_output(command, timeout=120))
            found["cpu_us"] = (cpu_s(gateway.pid) - before) / found["all"] * 1e6
            found["mb"] = memory_mb(gateway.pid)
        asked = subprocess.check_output(
            [
                sys.executable,
                "-c",
                f"import urllib.request as u;print(u.urlopen('http://127.0.0.1:{port}/count').read())",
            ]
        )
        found["boxes"] = int(asked.decode().strip().strip("b'"))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--plot", type=Path)
    named = parser.parse_args()
    rows = []
    print("burst         joining  requests at boxes  p50 ms  p99 ms  CPU us a request  MB  not served")
    for number, alike, bursts in CASES:
        pairs = [[play(number, alike, bursts, join) for join in (False, True)] for _ in range(named.rounds)]
        for place, join in enumerate(("off", "on")):
            each = [pair[place] for pair in pairs]
            row = {key: statistics.median(one[key] for one in each) for key in each[0]}
            rows.append((f"{number} {alike}", join, row))
            figures = f"{row['p50']:10.1f}  {row['p99']:6.1f}  {row['cpu_us']:16.0f}  {row['mb']:3.0f}"
            at_boxes = f"{row['boxes']:6.0f} of {row['all']:6.0f}"
            print(f"{number:4d} {alike:8s} {join:>7s}  {at_boxes}  {figures}  {row['bad']:.0f}")
        ratio = statistics.median(on["cpu_us"] / off["cpu_us"] for off, on in pairs)
        print(f"              CPU on / off {ratio:.2f}")
    if named.plot is not None:
        draw(rows, named.plot)


def draw(rows: list[tuple[str, str, dict[str, float]]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(name for name, _, _ in rows))
    figure, axes = pyplot.subplots(1, 3, figsize=(11, 3.4))
    shown = (("boxes", "requests at boxes"), ("p99", "p99, ms"), ("cpu_us", "CPU, us"))
    for axis, (key, title) in zip(axes, shown, strict=True):
        for shift, join in ((-0.2, "off"), (0.2, "on")):
            values = [row[key] for _, each, row in rows if each == join]
            axis.bar([n + shift for n in range(len(names))], values, 0.38, label=f"joining {join}")
        axis.set_xticks(range(len(names)), names, rotation=20)
        axis.set_title(title)
        axis.set_yscale("log")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    main()
