"""A model of entries and servers under requests with a part that crashes servers."""

from __future__ import annotations

import random

import attrs

from cornelpin.scheduling.poison_parts import PoisonParts

STEP_S = 0.02
CONTACT_S = 3.0
"""Time after which the platform expects entries to know of a crash."""
BAD = "bad"
FULL_STATE_S = 3.0


@attrs.define
class Scene:
    """Parameters of a run.

    Attributes:
        seed: Seed of all random choices.
        entries: Number of entries.
        servers: Number of servers.
        poison_per_s: Rate of the requests that crash servers.
        sound_per_s: Rate of the others.
        first_parts: Number of parts with which a prompt may begin.
        loss: Share of the messages that are lost.
        other_crashes_per_s: Rate of crashes with other causes.
        warm: Whether the entries have served sound requests before.
    """

    seed: int
    entries: int
    servers: int
    poison_per_s: float
    sound_per_s: float
    first_parts: int
    loss: float
    other_crashes_per_s: float
    warm: bool


@attrs.define
class _Run:
    """A request at a server."""

    entry: int
    parts: tuple[str, ...]
    begins_at: float
    ends_at: float
    begun: bool = False


@attrs.define
class _Server:
    name: str
    incarnation: int = 0
    back_at: float = 0.0
    runs: list[_Run] = attrs.field(factory=list)


class PoisonModel:
    """Runs a scene in steps.

    Attributes:
        crashed_at: Times of the crashes caused by the part.
        late_poison: Poison requests that reached servers when none should any more.
        sound_sent: Sound requests sent by then.
        sound_rejected: Those of them that were rejected as poison.
    """

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self._rng = random.Random(scene.seed)
        self._entries = [PoisonParts() for _ in range(scene.entries)]
        self._servers = [_Server(f"s{n}") for n in range(scene.servers)]
        self._messages: list[tuple[float, int, str, list[object]]] = []
        self._now = 0.0
        self.crashed_at: list[float] = []
        self.late_poison = 0
        self.sound_sent = 0
        self.sound_rejected = 0

    def run(self, duration_s: float) -> None:
        """Runs until a time has passed."""
        if self._scene.warm:
            firsts = [f"first-{n}" for n in range(self._scene.first_parts)]
            for entry in self._entries:
                entry.record_sound(firsts, 0.0)
        next_full_state = FULL_STATE_S
        while self._now < duration_s:
            self._now += STEP_S
            self._deliver()
            self._arrive()
            for server in self._servers:
                self._advance(server)
            self._exchange()
            if self._now >= next_full_state:
                next_full_state += FULL_STATE_S
                self._send_full_states()

    @property
    def _settled(self) -> bool:
        """Whether the entries are expected to know the part."""
        return len(self.crashed_at) >= 5 and (
            self._now > self.crashed_at[4] + CONTACT_S
        )

    def _arrive(self) -> None:
        rng, scene = self._rng, self._scene
        first = f"first-{rng.randrange(scene.first_parts)}"
        if rng.random() < scene.poison_per_s * STEP_S:
            self._send((first, BAD), poison=True)
        if rng.random() < scene.sound_per_s * STEP_S:
            other = (f"other-{rng.randrange(40)}",) if rng.random() < 0.5 else ()
            self._send((first, *other), poison=False)

    def _send(self, parts: tuple[str, ...], *, poison: bool) -> None:
        number = self._rng.randrange(self._scene.entries)
        rejected = self._entries[number].find(parts) is not None
        if not poison and self._settled:
            self.sound_sent += 1
            self.sound_rejected += rejected
        up = [s for s in self._servers if s.back_at <= self._now]
        if rejected or not up:
            return
        self.late_poison += poison and self._settled
        begins_at = self._now + self._rng.uniform(0.03, 0.3)
        ends_at = begins_at + self._rng.uniform(0.0, 2.0)
        run = _Run(number, parts, begins_at, ends_at)
        self._rng.choice(up).runs.append(run)

    def _advance(self, server: _Server) -> None:
        if self._rng.random() < (
            self._scene.other_crashes_per_s * STEP_S / len(self._servers)
        ):
            self._crash(server)
        for run in list(server.runs):
            if run.begun or run.begins_at > self._now:
                continue
            if BAD in run.parts:
                self.crashed_at.append(self._now)
                self._crash(server)
                return
            run.begun = True
            self._entries[run.entry].record_sound(run.parts, self._now)
        server.runs = [r for r in server.runs if r.ends_at > self._now]

    def _crash(self, server: _Server) -> None:
        incarnation = f"{server.name}@{server.incarnation}"
        for run in server.runs:
            if not run.begun:
                self._entries[run.entry].record_crash(incarnation, run.parts, self._now)
        server.runs = []
        server.incarnation += 1
        server.back_at = self._now + self._rng.uniform(1.0, 4.0)

    def _exchange(self) -> None:
        for number, entry in enumerate(self._entries):
            crashes = entry.take_unsent_crashes()
            if crashes:
                self._broadcast(number, "crashes", list(crashes), 0.02)
            sound = entry.take_unsent_sound()
            if sound:
                self._broadcast(number, "sound", list(sound), 0.4)

    def _send_full_states(self) -> None:
        for number, entry in enumerate(self._entries):
            self._broadcast(number, "state", [entry.export(self._now)], 0.02)

    def _broadcast(
        self, sender: int, kind: str, items: list[object], delay_s: float
    ) -> None:
        for number in range(len(self._entries)):
            if number != sender and self._rng.random() >= self._scene.loss:
                at = self._now + self._rng.uniform(0.0, delay_s)
                self._messages.append((at, number, kind, items))

    def _deliver(self) -> None:
        due = [m for m in self._messages if m[0] <= self._now]
        self._messages = [m for m in self._messages if m[0] > self._now]
        for _, number, kind, items in due:
            entry = self._entries[number]
            if kind == "crashes":
                entry.merge_crashes(items, self._now)  # type: ignore[arg-type]
            elif kind == "sound":
                entry.merge_sound(items, self._now)  # type: ignore[arg-type]
            else:
                entry.merge_from(items[0], self._now)  # type: ignore[arg-type]
