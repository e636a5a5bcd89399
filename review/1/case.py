"""Bad clients call functions that no script host knows; the activator must stay within its memory limit."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import Bus, Client, Host, configuration, free_port, main  # noqa: E402

# The largest limit of the pages for scored days.
MEMORY_MB = 192
KNOWN = "7f3a9c21e0b4d655"
BAD_CLIENTS = 4
# Requests that a client may have open on a connection.
OPEN = 32
SECONDS = 30


def count(tally, answer):
    """Counts an answer; `None` stands for the end of the connection."""
    tally["lost" if answer is None else {79: "served", 66: "refused"}.get(answer[0], "failed")] += 1


async def usual(run, port, until, tally):
    """A usual client: ten reads a second."""
    client = await Client(run.record, quiet=True).connect(port)
    pending = []
    while time.monotonic() < until and not client.closed.is_set():
        tally["sent"] += 1
        pending.append(client.send("check-score", KNOWN, b"answers", timeout_ms=5000))
        pending[-1].add_done_callback(lambda answered: count(tally, answered.result()))
        await asyncio.sleep(0.1)
    await asyncio.wait(pending)


async def bad(run, port, until, tally):
    """A bad client: keeps its requests open at full speed, each for a made-up function, and reads all answers."""
    client = await Client(run.record, quiet=True).connect(port)

    async def one():
        while time.monotonic() < until and not client.closed.is_set():
            tally["sent"] += 1
            count(tally, await client.send("check-score", os.urandom(8).hex(), b"x", timeout_ms=5000))
            for kept in (client.sent, client.waiting, client.answers):
                kept.pop(client.stream - 4 * OPEN, None)

    await asyncio.gather(*[one() for _ in range(OPEN)])


async def case(run):
    bus = Bus()
    await bus.start()
    hosts = [Host(run.record, i, cell=i // 2, quiet=True) for i in range(4)]
    for host in hosts:
        await host.start()
        host.loaded, host.known = {KNOWN}, {KNOWN}
    listen, control = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    port = int(listen.split(":")[1])
    activator = run.start("activator", configuration(hosts, bus, listen, control, memory_mb=MEMORY_MB), listen, control)
    await activator.wait_ready(port)
    until = time.monotonic() + SECONDS
    counts = ("sent", "served", "refused", "failed", "lost")
    usuals, bads = dict.fromkeys(counts, 0), dict.fromkeys(counts, 0)
    tasks = [asyncio.create_task(usual(run, port, until, usuals))]
    if run.trouble:
        tasks += [asyncio.create_task(bad(run, port, until, bads)) for _ in range(BAD_CLIENTS)]
    broken, noted = None, 0
    while time.monotonic() < until and not broken:
        await asyncio.sleep(0.1)
        memory = activator.rss_mb()
        if memory is None or activator.process.poll() is not None:
            broken = f"the activator has ended by itself ({activator.process.poll()})"
        elif memory > MEMORY_MB:
            broken = f"the activator holds {memory:.0f} MB, over its memory_mb of {MEMORY_MB}"
            # The platform kills an activator that is over its memory limit.
            activator.signal(signal.SIGKILL)
        if broken or time.monotonic() >= noted + 1:
            noted = time.monotonic()
            run.record.line(f"memory {memory or 0:.0f} MB; usual client {usuals}; bad clients {bads};",
                            f"runs at script hosts {sum(len(h.runs) for h in hosts)}")
    await asyncio.wait(tasks, timeout=6)
    run.record.line(f"at the end: usual client {usuals}; bad clients {bads}")
    if not broken and usuals["lost"]:
        broken = f"{usuals['lost']} requests of the usual client are lost"
    return broken


main(HERE, case)
