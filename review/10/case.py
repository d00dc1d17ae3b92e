"""Runners leave just after a host has been partitioned from the store for some seconds."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))
from standins import BROKEN, HELD, NOT_RUN, call, configuration, run  # noqa: E402

# Of the site.
CONTACT_S = 3.0
DRAIN_S = 2.0
# A runner that leaves serves for `drain_ms` and a little longer.
LINGER_S = 0.4
# How long the host is partitioned, in turn.
CUTS_S = [4.4, 4.7, 5.0, 4.5, 4.8, 4.6, 4.9, 4.4]
# From the end of the cut until the entries of two runners are removed.
REMOVED_AFTER_S = 0.85
REQUESTS_PER_SECOND = 40


async def send_requests(site, host, until, answers):
    pending = set()

    async def one(request):
        sent = time.monotonic()
        answer = await call(host.callers, "/lodge/x",
                            [("Host", "a.example"), ("Request-Id", request), ("Deadline-Ms", 2500)])
        answers[request] = (sent, answer)
        if answer.status != 200:
            site.record.note("client gets", id=request, status=answer.status, complete=answer.complete)

    number = 0
    while time.monotonic() < until():
        number += 1
        task = asyncio.create_task(one(f"{number:016x}"))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*pending)


async def scenario(site, trouble):
    site.store.put("op/config", configuration())
    await site.add_runner("i-p0", "llm", "prefill")
    for n in range(2):
        await site.add_runner(f"i-d{n}", "llm", "decode")
    serving = [await site.add_runner(f"i-a{n}", "app") for n in range(4)]
    host = await site.add_host("frontend-a", "zone-a")
    await site.add_host("frontend-b", "zone-b")
    for each in site.hosts:
        await each.ready()
    answers, left = {}, []
    end = time.monotonic() + 600
    traffic = asyncio.create_task(send_requests(site, host, lambda: end, answers))
    await asyncio.sleep(4)
    for cut_s in CUTS_S:
        if trouble:
            site.record.note("host is partitioned from the store", host=host.name, for_s=cut_s)
            site.store.cut.add(host.store_address)
        await asyncio.sleep(cut_s)
        site.store.cut.discard(host.store_address)
        in_touch_from = time.monotonic() + (CONTACT_S if trouble else 0)
        site.record.note("the partition ends", host=host.name)
        fresh = [await site.add_runner(f"i-a{len(left) + 4 + n}", "app") for n in range(2)]
        await asyncio.sleep(REMOVED_AFTER_S)
        old, serving = serving[:2], serving[2:] + fresh
        for runner in old:
            # It never reports that it drains: its entry is removed, and it goes on serving.
            runner.heartbeat.cancel()
            site.store.remove(f"servers/{runner.name}")
            left.append((runner, time.monotonic(), in_touch_from))
            site.record.note("store accepted the removal", runner=runner.name)
        await asyncio.sleep(DRAIN_S + LINGER_S)
        for runner in old:
            runner.end()
        await asyncio.sleep(2.5)
    end = 0.0
    await traffic

    late = []
    for runner, removed_at, in_touch_from in left:
        for at, request, _ in runner.arrivals:
            sent, answer = answers[request]
            if at > removed_at + DRAIN_S and sent >= in_touch_from:
                late.append(request)
                site.record.note("DRAIN broken", runner=runner.name, id=request,
                                 after_ack_s=f"{at - removed_at:.3f}", status=answer.status)
    if not any(answer.status == 200 for _, answer in answers.values()):
        return NOT_RUN
    return BROKEN if late else HELD


run(pathlib.Path(__file__).resolve().parent, scenario)
