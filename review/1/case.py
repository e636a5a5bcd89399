"""Bad clients call functions that no script host knows; the activator must stay within its memory limit."""

import asyncio
import pathlib
import signal
import subprocess
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
SECONDS = 40


async def usual(run, port, until, tally):
    """A usual client: ten reads a second."""

    def count(answered):
        answer = answered.result()
        tally["lost" if answer is None else {79: "served", 66: "refused"}.get(answer[0], "failed")] += 1

    client = await Client(run.record, quiet=True).connect(port)
    pending = []
    while time.monotonic() < until and not client.closed.is_set():
        tally["sent"] += 1
        pending.append(client.send("check-score", KNOWN, b"answers", timeout_ms=5000))
        pending[-1].add_done_callback(count)
        await asyncio.sleep(0.1)
    await asyncio.wait(pending)


class BadClient:
    """A process of `bad_client.py`; what it tells goes into a file."""

    def __init__(self, run, number, port):
        self.told = pathlib.Path(run.temporary.name) / f"bad-client-{number}"
        command = [sys.executable, str(HERE / "bad_client.py"), str(port), str(OPEN), str(SECONDS)]
        with open(self.told, "wb") as out:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out)

    def last(self):
        lines = self.told.read_text().splitlines()
        return lines[-1] if lines else "nothing yet"

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


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
    usuals = dict.fromkeys(("sent", "served", "refused", "failed", "lost"), 0)
    client = asyncio.create_task(usual(run, port, until, usuals))
    bads = [BadClient(run, i, port) for i in range(BAD_CLIENTS if run.trouble else 0)]
    broken, noted = None, 0
    try:
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
                run.record.line(f"memory {memory or 0:.0f} MB; usual client {usuals}; bad clients {[b.last() for b in bads]};",
                                f"runs at script hosts {sum(len(h.runs) for h in hosts)}")
        await asyncio.wait([client], timeout=8)
    finally:
        for each in bads:
            each.end()
    run.record.line(f"at the end: usual client {usuals}; bad clients {[b.last() for b in bads]}")
    if not broken and usuals["lost"]:
        broken = f"{usuals['lost']} requests of the usual client are lost"
    return broken


main(HERE, case)
