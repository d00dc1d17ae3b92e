"""Streams of a host that the store turned away can't be taken up anywhere once the host has stopped."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness-2"))
from standins import BROKEN, HELD, NOT_RUN, call, configuration, run, stream_fields  # noqa: E402

# How long the store turns one of three hosts away.
TURNED_AWAY_S = 9.0
STREAMS = 30
# The fewest streams taken up for which the rule holds.
COUNTED = 12
# A client tries at once, and about once a second after that.
ATTEMPTS = 5


async def begin(site, host, request):
    site.record.note("client sends", id=request, host=host.name)
    answer = await call(host.callers, "/review/x", stream_fields(request))
    site.record.note("client gets", id=request, host=host.name, status=answer.status,
                     complete=answer.complete, events=len(answer.events()))
    return answer


async def follow_stream(site, first, others, number):
    """Sends a stream to `first`. If it breaks off, returns whether it goes on at one of `others`."""
    request = f"{number:016x}"
    answer = await begin(site, first, request)
    events = answer.events()
    if answer.complete or not events:
        return None
    for attempt in range(ATTEMPTS):
        again = f"{number:08x}{attempt + 1:08x}"
        host = others[(number + attempt) % len(others)]
        site.record.note("client sends", id=again, host=host.name, resumes=request,
                         last_event=events[-1][0])
        answer = await call(host.callers, "/review/x",
                            stream_fields(again, deadline_ms=5000, Last_Event_Id=events[-1][0],
                                          Resumes=request))
        site.record.note("client gets", id=again, host=host.name, status=answer.status,
                         complete=answer.complete, events=len(answer.events()))
        if answer.events():
            return True
        await asyncio.sleep(max(1.0, float(answer.field("Retry-After", 0))))
    return False


async def scenario(site, trouble):
    site.store.put("op/config", configuration())
    pace = {"events": 70, "event_interval": 0.15}
    for n in range(3):
        await site.add_runner(f"i-p{n}", "llm", "prefill", version="v2")
    # Runners of two versions serve side by side, and go on doing so.
    for n in range(8):
        await site.add_runner(f"i-d{n}", "llm", "decode", version="v1" if n < 4 else "v2", **pace)
    for n in range(2):
        await site.add_runner(f"i-a{n}", "app")
    first, *others = [await site.add_host(f"frontend-{name}", f"zone-{name}") for name in "abc"]
    for host in site.hosts:
        await host.ready()
    await asyncio.sleep(6)

    if trouble:
        site.record.note("store turns host away", host=first.name)
        site.store.refused.add(first.store_address)
        asyncio.get_running_loop().call_later(
            TURNED_AWAY_S, lambda: site.store.refused.discard(first.store_address))
    await asyncio.sleep(0.3)
    streams = []
    for n in range(STREAMS):
        streams.append(asyncio.create_task(follow_stream(site, first, others, n + 1)))
        await asyncio.sleep(0.03)
    # Planned work: the host is stopped. It ends what is at work shortly before the grace time ends.
    await first.stop()
    new = [begin(site, others[n % 2], f"{n:04x}000000000000") for n in range(STREAMS)]
    began = [bool(answer.events()) for answer in await asyncio.gather(*new)]
    taken_up = [each for each in await asyncio.gather(*streams) if each is not None]

    site.record.note("streams", taken_up=len(taken_up), gone_on=sum(taken_up), new=len(began),
                     begun=sum(began))
    if len(taken_up) < COUNTED or not any(began):
        return NOT_RUN
    share = sum(taken_up) / len(taken_up)
    return BROKEN if share < sum(began) / len(began) / 2 else HELD


run(pathlib.Path(__file__).resolve().parent, scenario)
