"""A decode runner drains while a request that has reserved memory there is still being prefilled."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))
from standins import BROKEN, HELD, NOT_RUN, call, configuration, run, stream_fields  # noqa: E402

# Of the site.
DRAIN_S = 3.0
OBJECTIVE_MS = 2000
# A runner that drains serves for `drain_ms` and a little longer.
LINGER_S = 1.5
DARK_S = 4.0

PREFILL_RUNNERS = 4
DECODE_RUNNERS = 16
REQUESTS_PER_SECOND = 40
STRIKES = 8
HOSTS = 8
# Of 20 runners, 1 goes dark (0.05) and 3 drain (0.15) in each strike.
DRAINED_AT_ONCE = 3


async def send_streams(site, until, answers):
    """Sends streams at a constant rate to the hosts in turn."""
    pending = set()

    async def one(number):
        request = f"{number:016x}"
        host = site.hosts[number % len(site.hosts)]
        site.record.note("client sends", id=request, host=host.name)
        answer = await call(host.callers, "/audit/x", stream_fields(request))
        answers.append((request, answer))
        site.record.note("client gets", id=request, status=answer.status, complete=answer.complete,
                         events=len(answer.events()))

    number = 0
    while time.monotonic() < until:
        number += 1
        task = asyncio.create_task(one(number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*pending)


async def replace(site, old, number):
    """Replaces decode runners: the new ones start first, then the old ones drain and end."""
    fresh = [await site.add_runner(f"i-d{number + n}", "llm", "decode") for n in range(len(old))]
    await asyncio.sleep(0.6)
    for runner in old:
        runner.drain()
    await asyncio.sleep(DRAIN_S + LINGER_S)
    for runner in old:
        runner.end()
    return fresh


async def go_dark(site, runner):
    site.record.note("runner goes dark", runner=runner.name)
    runner.dark = True
    await asyncio.sleep(DARK_S)
    # The process that comes back knows nothing of before.
    runner.dark = False
    for writer in list(runner.writers):
        writer.transport.abort()
    site.record.note("runner is back", runner=runner.name)


async def scenario(site, trouble):
    site.store.put("op/config", configuration(objective_ms=OBJECTIVE_MS))
    prefills = [await site.add_runner(f"i-p{n}", "llm", "prefill", started_ago=600)
                for n in range(PREFILL_RUNNERS)]
    decodes = [await site.add_runner(f"i-d{n}", "llm", "decode", started_ago=600)
               for n in range(DECODE_RUNNERS)]
    for n in range(4):
        await site.add_runner(f"i-a{n}", "app", started_ago=600)
    for n in range(HOSTS):
        await site.add_host(f"frontend-{n}", f"zone-{n % 4}")
    for host in site.hosts:
        await host.ready()
    answers = []
    traffic = asyncio.create_task(send_streams(site, time.monotonic() + 8 + 8 * STRIKES, answers))
    await asyncio.sleep(8)
    serving = list(decodes)
    for n in range(STRIKES):
        random.shuffle(serving)
        old = [serving.pop() for _ in range(DRAINED_AT_ONCE)]
        steps = [replace(site, old, len(decodes))]
        if trouble:
            steps.append(go_dark(site, prefills[n % PREFILL_RUNNERS]))
        fresh = (await asyncio.gather(*steps))[0]
        serving += fresh
        decodes += fresh
        await asyncio.sleep(2)
    await traffic
    if not any(answer.complete for _, answer in answers):
        return NOT_RUN
    late = [(runner.name, request, at - runner.drained_at)
            for runner in decodes if runner.drained_at
            for at, request, staged in runner.arrivals
            if not staged and at > runner.drained_at + DRAIN_S]
    lost = {request for request, answer in answers if answer.status == 200 and not answer.complete}
    for name, request, after in late:
        site.record.note("DRAIN broken", runner=name, id=request, after_ack_s=f"{after:.3f}",
                         stream="cut off" if request in lost else "whole")
    return BROKEN if late else HELD


run(pathlib.Path(__file__).resolve().parent, scenario)
