"""Streams that began at version v1 are taken up at a host that started after v1's last runners left."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))
from standins import BROKEN, HELD, NOT_RUN, call, configuration, run, stream_fields  # noqa: E402

# Of the site.
DRAIN_S = 2.0
# A runner that leaves serves for `drain_ms` and a little longer.
LINGER_S = 2.5
# How long the store turns one of three hosts away.
TURNED_AWAY_S = 9.0

# How long runners of both versions have served when the last ones of v1 leave.
ROLLOUT_S = 40.0

STREAMS = 24
ALLOWED = 2


async def follow_stream(site, first, second, number):
    """Sends a stream to `first` and takes it up at `second` when it breaks off. Returns its events."""
    request = f"{number:016x}"
    site.record.note("client sends", id=request, host=first.name)
    answer = await call(first.callers, "/review/x", stream_fields(request))
    events = answer.events()
    site.record.note("client gets", id=request, status=answer.status, complete=answer.complete,
                     events=len(events))
    if answer.complete or not events:
        return events
    for attempt in range(3):
        again = f"{number:08x}{attempt + 1:08x}"
        site.record.note("client sends", id=again, host=second.name, resumes=request,
                         last_event=events[-1][0])
        answer = await call(second.callers, "/review/x",
                            stream_fields(again, Last_Event_Id=events[-1][0], Resumes=request))
        events += answer.events()
        site.record.note("client gets", id=again, status=answer.status, complete=answer.complete,
                         events=len(answer.events()))
        if answer.status == 200:
            break
        await asyncio.sleep(0.4)
    return events


async def scenario(site, trouble):
    site.store.put("op/config", configuration())
    slow = {"events": 70, "event_interval": 0.12}
    # The last two runners of v1 that decode, while a rollout of v2 goes on.
    older = [await site.add_runner(f"i-old{n}", "llm", "decode", version="v1", **slow)
             for n in range(2)]
    for n in range(3):
        await site.add_runner(f"i-p{n}", "llm", "prefill", version="v2")
    for n in range(3):
        await site.add_runner(f"i-new{n}", "llm", "decode", version="v2", **slow)
    for n in range(2):
        await site.add_runner(f"i-a{n}", "app")
    turned_away, restarted, _ = [await site.add_host(f"frontend-{name}", f"zone-{name}")
                                 for name in ("a", "b", "c")]
    for host in site.hosts:
        await host.ready()
    await asyncio.sleep(ROLLOUT_S)

    if trouble:
        site.record.note("store turns host away", host=turned_away.name)
        site.store.refused.add(turned_away.store_address)
        asyncio.get_running_loop().call_later(
            TURNED_AWAY_S, lambda: site.store.refused.discard(turned_away.store_address))
    # Planned work: the host is stopped and started again, and the last runners of v1 leave.
    stopping = asyncio.create_task(restarted.stop())
    await asyncio.sleep(0.5)
    streams = [asyncio.create_task(follow_stream(site, turned_away, restarted, n + 1))
               for n in range(STREAMS)]
    await asyncio.sleep(1.0)
    # They never report that they drain: their entries are removed, and they go on serving.
    for runner in older:
        runner.heartbeat.cancel()
        site.store.remove(f"servers/{runner.name}")
        site.record.note("store removed the entry", runner=runner.name)
    leave_at = time.monotonic() + DRAIN_S + LINGER_S
    await stopping
    await asyncio.sleep(0.3)
    restarted.start()
    await restarted.ready()
    await asyncio.sleep(max(0.0, leave_at - time.monotonic()))
    for runner in older:
        runner.end()
    received = await asyncio.gather(*streams)

    mixed = 0
    for events in received:
        versions = {data.split("@")[1] for _, data in events}
        if len(versions) > 1:
            mixed += 1
            site.record.note("stream holds events of two versions", stream=events[0][1].split(".")[0],
                             versions=",".join(sorted(versions)))
    began_at_older = sum(1 for events in received if events and events[0][1].endswith("@v1"))
    site.record.note("streams", all=len(received), began_at_v1=began_at_older, of_two_versions=mixed)
    if began_at_older <= ALLOWED:
        return NOT_RUN
    return BROKEN if mixed > ALLOWED else HELD


run(pathlib.Path(__file__).resolve().parent, scenario)
