"""The steps of the scenario language."""

from __future__ import annotations

import itertools
import json
import random
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs

from benchmarks.http_json import JsonClient
from benchmarks.processes import LOOPBACK
from benchmarks.records import Kind
from benchmarks.scenario_run import MEASURES, Run, ScenarioError, step
from benchmarks.waiting import WaitTimeoutError, wait_until
from benchmarks.workload import PlannedRequest, Shape, plan

MAX_SENT_REQUESTS = 5000
"""Limit on the requests of one load."""
MAX_SEED = 2**31
RESEND_OUTPUT_TOKENS = 4
MAX_WAIT_S = 30.0
"""Longest pause by the step ``wait``."""
DEFAULT_WAIT_S = 10.0
"""Default time limit of the steps ``stop`` and ``wait_for``."""
OK = 200
MULTIPLE_CHOICES = 300
DEFAULT_MAX_BAD_SHARE = 0.1
CONFLICT = 409

# Processes


@step("start")
def _start(run: Run, arguments: Mapping[str, Any]) -> None:
    name = arguments["process"]
    if name in run.testbed.daemon_names():
        run.testbed.restart_daemon(name)
    else:
        run.testbed.restart(name)


@step("stop")
def _stop(run: Run, arguments: Mapping[str, Any]) -> None:
    process = run.testbed.processes[arguments["process"]]
    code = process.stop(arguments.get("within_s", DEFAULT_WAIT_S))
    if code != 0:
        raise ScenarioError(f"{process.name} ended with exit code {code}, not 0")


@step("kill")
def _kill(run: Run, arguments: Mapping[str, Any]) -> None:
    run.testbed.processes[arguments["process"]].kill()


@step("pause")
def _pause(run: Run, arguments: Mapping[str, Any]) -> None:
    run.testbed.processes[arguments["process"]].pause()


@step("resume")
def _resume(run: Run, arguments: Mapping[str, Any]) -> None:
    run.testbed.processes[arguments["process"]].resume()


# Faults of the stand-ins


@step("slow")
def _slow(run: Run, arguments: Mapping[str, Any]) -> None:
    _post_fault(run, arguments["process"], {"slow": arguments["factor"]})


@step("fault")
def _fault(run: Run, arguments: Mapping[str, Any]) -> None:
    _post_fault(run, arguments["process"], dict(arguments["settings"]))


def _post_fault(run: Run, name: str, settings: dict[str, Any]) -> None:
    testbed = run.testbed
    is_service = name in testbed.deployment.servers_of(Kind.SERVICE)
    path = "/_standin/faults" if is_service else "/faults"
    client = JsonClient(LOOPBACK, testbed.ports[name])
    reply = client.call("POST", path, settings)
    if reply.status >= MULTIPLE_CHOICES:
        raise ScenarioError(f"{name} rejected a fault: {reply.status} {reply.body}")


# Configuration


@step("patch")
def _patch(run: Run, arguments: Mapping[str, Any]) -> None:
    run.testbed.patch(dict(arguments["patch"]))


@step("remove_server")
def _remove_server(run: Run, arguments: Mapping[str, Any]) -> None:
    """Removes a model's backend server from the configuration."""
    _set_servers(run, {arguments["server"]: None}, without=arguments["server"])


@step("return_server")
def _return_server(run: Run, arguments: Mapping[str, Any]) -> None:
    """Adds a removed backend server to the configuration again."""
    name = arguments["server"]
    side = run.testbed.sides[name]
    address = {"host": side.host, "peer_port": side.advertised_port}
    _set_servers(run, {name: address}, without="")


def _set_servers(run: Run, changed: Mapping[str, Any], *, without: str) -> None:
    deployment = run.testbed.deployment
    names = [s for s in deployment.servers_of(Kind.MODEL) if s != without]
    run.testbed.patch(
        {
            "backend_servers": dict(changed),
            "routes": {deployment.model_route: {"backend_servers": names}},
        }
    )


@step("move")
def _move(run: Run, arguments: Mapping[str, Any]) -> None:
    """Submits a move of a route, by default of the model route."""
    move = {
        "route": arguments.get("route", run.testbed.deployment.model_route),
        "from_version": arguments["from"],
        "to_version": arguments["to"],
        "finish_by": time.time() + arguments["within_s"],
        "stages": arguments["stages"],
        "stage_s": arguments["stage_s"],
        "max_bad_share": arguments.get("max_bad_share", DEFAULT_MAX_BAD_SHARE),
    }
    run.testbed.patch({"moves": {arguments["name"]: move}})


@step("give_time")
def _give_time(run: Run, arguments: Mapping[str, Any]) -> None:
    """Sets the deadline of a move, relative to now."""
    finish_by = time.time() + arguments["within_s"]
    run.testbed.patch({"moves": {arguments["name"]: {"finish_by": finish_by}}})


@step("race")
def _race(run: Run, arguments: Mapping[str, Any]) -> None:
    """Submits patches to one configuration number at once; exactly one must succeed."""
    testbed = run.testbed
    base = testbed.config_number()
    patches = arguments["patches"]
    with ThreadPoolExecutor(len(patches)) as pool:
        statuses = list(pool.map(_submit(run, base), itertools.count(), patches))
    if sorted(statuses) != [OK] + [CONFLICT] * (len(patches) - 1):
        raise ScenarioError(
            f"concurrent patches of configuration {base} got statuses {statuses}"
        )
    if testbed.config_number() != base + 1:
        raise ScenarioError(
            f"configuration {base} was not followed by the next number "
            f"but by {testbed.config_number()}"
        )


def _submit(run: Run, base: int) -> Callable[[int, Mapping[str, Any]], int]:
    """Returns a function that submits a patch to the entry chosen by its index."""
    testbed = run.testbed

    def submit(index: int, patch: Mapping[str, Any]) -> int:
        entry = testbed.entries[index % len(testbed.entries)]
        body = {"base": base, "patch": dict(patch)}
        client = testbed.client(entry.name)
        return client.call("POST", "/admin/v1/config/patches", body).status

    return submit


@step("host")
def _host(run: Run, arguments: Mapping[str, Any]) -> None:
    run.testbed.set_host_state(arguments["host"], arguments["state"])


@step("cut")
def _cut(run: Run, arguments: Mapping[str, Any]) -> None:
    """Partitions hosts or data centres from others; replaces an earlier cut."""
    one_way = arguments.get("one_way", False)
    run.testbed.cut(arguments["from"], arguments["to"], one_way=one_way)


@step("heal")
def _heal(run: Run, arguments: Mapping[str, Any]) -> None:
    run.testbed.heal()


@step("add_route")
def _add_route(run: Run, arguments: Mapping[str, Any]) -> None:
    """Adds a route over the servers of the model route, for all workspaces."""
    deployment = run.testbed.deployment
    document = run.testbed.call_any_entry("GET", "/admin/v1/config").body["document"]
    route = document["routes"][deployment.model_route]
    routes = [*document["routes"], arguments["name"]]
    workspaces = {name: {"routes": routes} for name in deployment.workspaces}
    run.testbed.patch({"routes": {arguments["name"]: route}, "workspaces": workspaces})


# Load


@step("send")
def _send(run: Run, arguments: Mapping[str, Any]) -> None:
    """Sends a seeded load; waits for its end unless ``background`` is set."""
    name = arguments["as"]
    planned = _plan_load(run, name, arguments)
    _start_load(run, name, planned, tuple(arguments.get("entries", ())))
    if not arguments.get("background", False):
        run.join(name)


@step("send_twice")
def _send_twice(run: Run, arguments: Mapping[str, Any]) -> None:
    """Sends each call to two entries at once, with the same idempotency key."""
    name = arguments["as"]
    second_name = f"{name}-again"
    planned = _plan_load(run, name, arguments)
    first_entry, second_entry = run.testbed.deployment.entries[:2]
    _start_load(run, name, planned, (first_entry,))
    _start_load(run, second_name, planned, (second_entry,))
    run.join(name)
    run.join(second_name)


def _plan_load(
    run: Run, name: str, arguments: Mapping[str, Any]
) -> list[PlannedRequest]:
    shape = Shape(
        seed=random.Random(f"{run.scenario.seed}/{name}").randrange(MAX_SEED),
        rate_per_s=arguments["rate_per_s"],
        duration_s=arguments["duration_s"],
        tiers=tuple(arguments.get("tiers", ())),
        burst_every_s=arguments.get("burst_every_s", 0.0),
    )
    planned = plan(run.testbed.deployment, shape)
    if len(planned) > MAX_SENT_REQUESTS:
        raise ScenarioError(
            f"the planned load has {len(planned)} requests, "
            f"more than {MAX_SENT_REQUESTS}"
        )
    if "route" in arguments:
        planned = [_with_route(request, arguments["route"]) for request in planned]
    marker = arguments.get("marker", "")
    return [_with_marker(request, marker) for request in planned] if marker else planned


def _with_marker(request: PlannedRequest, marker: str) -> PlannedRequest:
    """Appends the text that triggers a fault of a stand-in."""
    return attrs.evolve(request, text=f"{request.text} {marker}")


def _with_route(request: PlannedRequest, route: str) -> PlannedRequest:
    return attrs.evolve(request, tier=attrs.evolve(request.tier, route=route))


def _start_load(
    run: Run, name: str, planned: list[PlannedRequest], entries: tuple[str, ...]
) -> None:
    """Starts a thread that sends the planned requests."""
    if name in run.senders:
        raise ScenarioError(f"two loads are named {name!r}")
    sender = run.testbed.sender(entries)

    def send() -> None:
        try:
            run.records[name] = sender.run(planned)
        except Exception as exc:
            run.errors.append(exc)

    run.senders[name] = threading.Thread(target=send, name=name)
    run.senders[name].start()


@step("resend")
def _resend(run: Run, arguments: Mapping[str, Any]) -> None:
    """Sends the same content several times, each time as a new call."""
    rng = random.Random(f"{run.scenario.seed}/{arguments['as']}")
    text = f"{rng.randrange(MAX_SEED)} {arguments['marker']}"
    tier = run.testbed.deployment.tier(arguments["tier"])
    workspace = next(iter(run.testbed.deployment.workspaces))
    planned = [
        PlannedRequest(
            call_id=f"{arguments['as']}-{i}",
            at_s=i * arguments["every_s"],
            workspace=workspace,
            tier=tier,
            text=text,
            output_tokens=RESEND_OUTPUT_TOKENS,
        )
        for i in range(arguments["times"])
    ]
    _start_load(run, arguments["as"], planned, ())
    run.join(arguments["as"])


@step("join")
def _join(run: Run, arguments: Mapping[str, Any]) -> None:
    run.join(arguments["load"])


# Time


@step("mark")
def _mark(run: Run, arguments: Mapping[str, Any]) -> None:
    """Records the current time under a name, for the measure ``runs``."""
    run.marks[arguments["as"]] = time.time()


@step("wait")
def _wait(run: Run, arguments: Mapping[str, Any]) -> None:
    """Pauses for ``s`` seconds, at most MAX_WAIT_S."""
    time.sleep(min(arguments["s"], MAX_WAIT_S))


# Expectations


def _holds(run: Run, arguments: Mapping[str, Any]) -> bool:
    value = MEASURES[arguments["measure"]](run, arguments)
    if "equals" in arguments and value != arguments["equals"]:
        return False
    return arguments.get("at_least", value) <= value <= arguments.get("at_most", value)


@step("expect")
def _expect(run: Run, arguments: Mapping[str, Any]) -> None:
    """Fails unless a measure is within its bounds, now or within a time limit."""
    try:
        wait_until(
            lambda: _holds(run, arguments),
            arguments.get("within_s", 0.0),
            json.dumps(dict(arguments)),
        )
    except WaitTimeoutError as exc:
        value = MEASURES[arguments["measure"]](run, arguments)
        raise ScenarioError(f"{exc}; measured {value}") from exc


@step("wait_for")
def _wait_for(run: Run, arguments: Mapping[str, Any]) -> None:
    _expect(run, {"within_s": DEFAULT_WAIT_S, **arguments})
