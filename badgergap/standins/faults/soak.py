"""One run: real gateways under a schedule of faults, with clients, and the checker's verdict."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from badgergap.standins.box import Box
from badgergap.standins.discovery import Change, Cut, DiscoveryService, Outage, Outlet
from badgergap.standins.faults import schedule
from badgergap.standins.faults.checker import RECOVERY_S, Violation, check
from badgergap.standins.faults.clients import Clients, Front, crowd
from badgergap.standins.faults.heavy_clients import Heavy, Target, play_apart
from badgergap.standins.faults.injector import Call, Injector
from badgergap.standins.faults.records import (
    AttemptRecord,
    ColdStart,
    DrainRecord,
    Interruption,
    Notification,
    Records,
    SlowStartRules,
)
from badgergap.standins.faults.schedule import AWAY_S, DRAIN_S, Fault, FaultKind
from badgergap.standins.load import Kind
from badgergap.standins.platform import WINDOW_US, GatewayProcess, Platform, settings_of

KINDS = (Kind("look", "safe", 0.5, 2.0), Kind("pay", "keyed", 0.5, 2.0), Kind("buy", "unsafe", 0.5, 2.0))
LONGEST_DEADLINE_S = 2.0  # of `KINDS`
KILLED_AFTER_S = LONGEST_DEADLINE_S + 0.7
LAST_CONNECTIONS_S = 0.3  # new connections go on coming after SIGTERM
START_S = 2.0  # for a process to be there again
BOXES = 5
WORK_S = 0.01
CORES = 1
CLIENTS = 32
PAUSE_S = 0.04
CROWD = 150
SOCKETS = 256
TICK_S = 0.005
POLLING_S = (2, 5, 8, 30, 60)
STALL_S = 0.015
HEAVY_MEMORY_MB = 96  # the least that the pages name
HEAVY_SOCKETS = 1024
HEAVY_CLIENTS = 250
HEAVY_WINDOW_S = 0.5  # in which boxes discard repeats
HEAVY_CONNECT_US = 1_500_000
MEMORY_TICK_S = 0.1
SLOW_START = SlowStartRules(
    start_capacity=0.2,
    warm_up_s=6.0,
    overload_multiple=2.0,
    overload_window_s=1.0,
    requests_per_s=CORES / WORK_S,
)


@dataclass
class Report:
    """What came of one run."""

    seed: int
    faults: tuple[Fault, ...]
    requests: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    injected: Counter[str] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)


class Soak:
    """One run."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        seconds: float,
        gateways: int,
        *,
        asked: bool = False,
        heavy: bool = False,
    ) -> None:
        """`seconds`: in which faults begin. `asked`: discovery is asked, and has faults of its own.

        `heavy`: with heavy clients, late connections, ids that come again, and the least memory.
        """
        self.folder, self.seed, self.seconds, self.heavy = folder, seed, seconds, heavy
        self.service = DiscoveryService(sends_full_lists=seed % 2 == 0) if asked else None
        names = [f"n{n}" for n in range(gateways)]
        self.injectors = {name: Injector(_made(folder / name), seed) for name in names}
        self.platform = Platform(
            folder,
            KINDS,
            boxes=BOXES,
            gateways=gateways,
            settings=soak_settings(gateways, heavy=heavy) | (asked_settings(seed) if asked else {}),
            work_s=WORK_S,
            sockets=HEAVY_SOCKETS if heavy else SOCKETS,
            memory_mb=HEAVY_MEMORY_MB if heavy else 0,
            discovery=self.service,
        )
        for box in self.platform.boxes.values():
            box.cores, box.warm_after_s = CORES, SLOW_START.warm_up_s
            box.start_capacity = SLOW_START.start_capacity
        for gateway in self.platform.gateways:
            gateway.environ = self.injectors[gateway.name].environ()
        self.fronts = {gateway.name: Front(gateway) for gateway in self.platform.gateways}
        self.records = Records(slow_start=SLOW_START)
        if heavy:
            self.records.window_s = HEAVY_WINDOW_S
            self.records.memory_limit_bytes = HEAVY_MEMORY_MB * 2**20
        self.clients = Clients(list(self.fronts.values()), KINDS, seed, PAUSE_S, repeats_ids=heavy)

    def draw(self) -> tuple[Fault, ...]:
        """Return the schedule that the seed gives."""
        restart_s = KILLED_AFTER_S + START_S
        boxes = list(self.platform.boxes)
        asked = self.service is not None
        names = list(self.fronts)
        return schedule.draw(self.seed, self.seconds, names, boxes, restart_s, asked=asked, heavy=self.heavy)

    async def run(self, faults: Sequence[Fault]) -> Report:
        """Play a schedule, and check what was recorded."""
        async with self.platform:
            watcher = asyncio.create_task(self._watch_itself())
            memory_watcher = asyncio.create_task(self._watch_memory())
            clients = asyncio.create_task(self.clients.run(CLIENTS))
            began_at = time.monotonic()
            await asyncio.gather(*(self._play(fault, began_at) for fault in faults))
            self.records.faults_ended_at = time.monotonic()
            await asyncio.sleep(RECOVERY_S + SLOW_START.warm_up_s / 2)
            self.clients.is_over = True
            await clients
            watcher.cancel()
            memory_watcher.cancel()
            for gateway in self.platform.gateways:
                self.records.exits[f"{gateway.name} at the end"] = await gateway.end(signal.SIGTERM)
        self._collect()
        report = Report(self.seed, tuple(faults), len(self.records.requests))
        report.statuses.update(request.status for request in self.records.requests)
        for injector in self.injectors.values():
            report.injected.update({call.name: count for call, count in injector.injected().items()})
        report.violations = check(self.records)
        return report

    def _collect(self) -> None:
        self.records.requests = self.clients.records
        self.records.hold_ups = [
            Interruption(gateway.name, began_at, ended_at, "held up")
            for gateway in self.platform.gateways
            for began_at, ended_at in gateway.stops
        ]
        self.records.attempts = [
            AttemptRecord(each.id, name, each.at, each.timeout_ms, each.has_run)
            for name, box in self.platform.boxes.items()
            for each in box.seen
        ]

    async def _watch_itself(self) -> None:
        """Record when this process was held up: what it saw then it may have seen late."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now - before > TICK_S + STALL_S:
                self.records.recorder_stalls.append((before, now))
            before = now

    async def _watch_memory(self) -> None:
        """Record the largest size of each gateway's process; its system keeps it while the process lives."""
        peaks = self.records.peak_memory_bytes
        while True:
            for gateway in self.platform.gateways:
                with contextlib.suppress(OSError):
                    peaks[gateway.name] = max(peaks.get(gateway.name, 0), gateway.peak_memory_bytes())
            await asyncio.sleep(MEMORY_TICK_S)

    # Faults

    async def _play(self, fault: Fault, began_at: float) -> None:
        await asyncio.sleep(max(0.0, began_at + fault.at_s - time.monotonic()))
        if fault.target in self.fronts:
            await self._play_on_gateway(fault, self.fronts[fault.target])
        elif fault.target in self.platform.boxes:
            await self._play_on_box(fault, self.platform.boxes[fault.target])
        else:
            await self._play_on_discovery(fault)

    async def _play_on_gateway(self, fault: Fault, front: Front) -> None:
        gateway = front.gateway
        match fault.kind:
            case FaultKind.HOLD_UP:
                await gateway.hold_up(fault.for_s)
            case FaultKind.CALLS:
                await self._fail_calls(fault, gateway)
            case FaultKind.RESTART:
                await self._restart(front)
            case FaultKind.KILL:
                await self._kill(front)
            case FaultKind.SIGNALS:
                for _ in range(5):
                    gateway.send_signal(signal.SIGHUP)
                    await asyncio.sleep(fault.for_s / 5)
            case FaultKind.CROWD:
                await crowd(gateway.port, CROWD, fault.for_s)
            case FaultKind.HEAVY:
                target = Target(gateway.port, "look", "pay")
                count = 1 if fault.detail == Heavy.FLOOD else HEAVY_CLIENTS
                await play_apart(Heavy(fault.detail), target, count, fault.for_s, f"{fault.at_s:.3f}")
            case _:
                assert self.service is not None
                await self._play_on_lists(fault, gateway, self.service.outlets[gateway.name])

    async def _play_on_lists(self, fault: Fault, gateway: GatewayProcess, outlet: Outlet) -> None:
        match fault.kind:
            case FaultKind.OUTAGE:
                await outlet.go_down(Outage(fault.detail))
                await asyncio.sleep(fault.for_s)
                await outlet.come_back()
            case FaultKind.SLOW_LISTS:
                outlet.answer_after_s = float(fault.detail)
                await asyncio.sleep(fault.for_s)
                outlet.answer_after_s = 0.0
            case FaultKind.SILENT_WATCH:
                outlet.fall_silent(calls=int(fault.detail))
            case FaultKind.CUT_LISTS:
                outlet.cut_messages, outlet.cut = 2, Cut(fault.detail)
            case FaultKind.MOVE:
                for _ in range(int(fault.detail)):
                    await self.platform.move_discovery(gateway)
                    await asyncio.sleep(fault.for_s / int(fault.detail))
            case _:
                outlet.reset()

    async def _fail_calls(self, fault: Fault, gateway: GatewayProcess) -> None:
        injector, call = self.injectors[gateway.name], Call[fault.call]
        began_at = time.monotonic()
        injector.set(call, schedule.errno_of(fault.error), fault.probability)
        await asyncio.sleep(fault.for_s)
        injector.set(call, 0)
        if schedule.is_breaking(fault):
            ended_at = time.monotonic()
            self.records.interruptions.append(Interruption(gateway.name, began_at, ended_at, fault.error))

    async def _restart(self, front: Front) -> None:
        gateway = front.gateway
        assert gateway.process is not None
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(LAST_CONNECTIONS_S)
        front.takes_new = False
        gateway.send_signal(signal.SIGTERM)  # a second one must not cut the end short
        key = f"{gateway.name} start {gateway.starts}"
        try:
            async with asyncio.timeout(KILLED_AFTER_S - LAST_CONNECTIONS_S):
                self.records.exits[key] = await gateway.process.wait()
        except TimeoutError:
            gateway.send_signal(signal.SIGKILL)
            await gateway.process.wait()
        await gateway.start()
        front.takes_new = True

    async def _kill(self, front: Front) -> None:
        gateway = front.gateway
        began_at = time.monotonic()
        front.takes_new = False
        await gateway.end(signal.SIGKILL)
        self.records.interruptions.append(
            Interruption(gateway.name, began_at, time.monotonic() + 0.1, "killed outright")
        )
        await gateway.start()
        front.takes_new = True

    async def _play_on_box(self, fault: Fault, box: Box) -> None:
        match fault.kind:
            case FaultKind.DRAIN:
                await self._drain(box, fault.for_s - AWAY_S)
            case FaultKind.DIE:
                box.die()
                await asyncio.sleep(DRAIN_S)
                self.platform.tell(box.name, "left")
                await asyncio.sleep(AWAY_S)
                await self._revive(box)
            case FaultKind.SILENT:
                box.silent = True
                await asyncio.sleep(fault.for_s)
                box.silent = False
            case FaultKind.SLOW:
                box.slow = schedule.SLOW_FACTOR
                await asyncio.sleep(fault.for_s)
                box.slow = 1.0
            case FaultKind.LATE_CONNECTIONS:
                for connection in list(box.connections):
                    connection.abort()
                box.hold_accepts()
                await asyncio.sleep(fault.for_s)
                await box.release_accepts()
            case FaultKind.SPOIL:
                box.spoil = fault.detail
                await asyncio.sleep(fault.for_s)
                box.spoil = ""

    async def _drain(self, box: Box, drain_s: float) -> None:
        told_at = self.platform.tell(box.name, "leaving")
        change = self.service.changes[-1] if self.service is not None else None
        await asyncio.sleep(drain_s)
        self.platform.tell(box.name, "left")
        box.die()
        await asyncio.sleep(AWAY_S)
        notifications = tuple(self._notifications(change)) if change is not None else ()
        self.records.drains.append(DrainRecord(box.name, told_at, time.monotonic(), notifications))
        await self._revive(box)

    def _notifications(self, change: Change) -> Iterator[Notification]:
        assert self.service is not None
        for gateway in self.platform.gateways:
            outlet = self.service.outlets[gateway.name]
            for since in gateway.started_at:
                yield Notification(gateway.name, since, outlet.notified_at(change, since))

    async def _revive(self, box: Box) -> None:
        await box.revive()
        self.records.cold_starts.append(ColdStart(box.name, box.started_at))
        self.platform.tell(box.name, "active")

    async def _play_on_discovery(self, fault: Fault) -> None:
        if fault.kind is FaultKind.CLOCK:
            self.platform.wall_step_s = float(fault.detail)
            for injector in self.injectors.values():
                injector.step_wall_clock(float(fault.detail))
            return
        assert fault.kind is FaultKind.WATCH
        self.platform.registry.cut()


def soak_settings(gateways: int, *, heavy: bool = False) -> dict[str, object]:
    """Return the settings of a run with so many gateways; `heavy`: a short window, and late connections."""
    contract = {
        "startCapacity": SLOW_START.start_capacity,
        "warmAfterUs": int(SLOW_START.warm_up_s * 1e6),
        "tipMultiple": SLOW_START.overload_multiple,
        "fallUs": int(SLOW_START.overload_window_s * 1e6),
    }
    settings = settings_of(
        KINDS,
        late_value=0.5,
        contract=contract,
        window_us=int(HEAVY_WINDOW_S * 1e6) if heavy else WINDOW_US,
        caps={"connectTimeoutUs": HEAVY_CONNECT_US} if heavy else None,
    )
    return settings | {"balancers": gateways}


def asked_settings(seed: int) -> dict[str, object]:
    """Return what is other in the settings where discovery is asked: the polling time differs by seed."""
    contract = soak_settings(1)["contract"]
    assert isinstance(contract, dict)
    polling_us = POLLING_S[seed % len(POLLING_S)] * 1_000_000
    return {"membershipMode": "on_request", "contract": {**contract, "mustAskInUs": polling_us}}


def story(soak: Soak, violation: Violation) -> Iterator[str]:
    """Return the joined timeline of a violation: its records, and the log lines that name its request."""
    yield f"{violation.rule} {violation.request_id}: {violation.what}"
    for request in soak.records.requests:
        if request.id == violation.request_id:
            yield f"  client: {request}"
    for attempt in soak.records.attempts:
        if attempt.request_id == violation.request_id:
            yield f"  box: {attempt}"
    if violation.request_id:
        for gateway in soak.platform.gateways:
            for line in gateway.log().splitlines():
                if violation.request_id in line:
                    yield f"  {gateway.name}: {line}"


def _made(folder: Path) -> Path:
    with contextlib.suppress(FileExistsError):
        folder.mkdir(parents=True)
    return folder
