"""A keyed call of the invoke front, whose script host dies under it; the cells in DNS-SD are no numbers."""

import asyncio
import os
import pathlib
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import ROOT, CannotRun, Host, Resolver, free_port, main  # noqa: E402

FUNCTION = "7f3a9c21e0b4d655"
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
# For comparison, TROUBLE=numbers has the same hosts in the cells 1 and 2, and TROUBLE=absent has no `cell` in TXT.
CELLS = {"numbers": (1, 2), "absent": (None, None)}.get(os.environ.get("TROUBLE"), ("north", "south"))


def operators_file(port, control, resolver):
    text = (ROOT / "deploy/invoke.toml").read_text()
    values = {"listen": f'"127.0.0.1:{port}"', "control": f'"{control}"', "resolver": f'"127.0.0.1:{resolver}"'}
    for key, value in values.items():
        text = re.sub(rf"^{key} = [^#\n]*", f"{key} = {value} ", text, flags=re.M)
    return text


async def http(port, text):
    """Sends a request and returns the status and the body of its answer; `None` if the connection ends without one."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(text.encode())
    data = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]), body.decode()) if head else None


async def healthy(port):
    try:
        return (await http(port, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))[0] == 200
    except (OSError, TypeError):
        return False


async def case(run):
    hosts = [Host(run.record, i, cell=cell) for i, cell in enumerate(CELLS)]
    deaths = [run.trouble]
    # The hosts are in two cells, whatever DNS-SD says: each cell has seen keys of its own, and drops repeats of them.
    seen = {host.id: set() for host in hosts}

    async def on_call(call):
        key = call.fields.get("nonce")
        if key not in seen[call.host.id]:
            seen[call.host.id].add(key)
            await call.host.run(call)
        else:
            call.host.say("drops a repeat of", key)
        if deaths[0]:
            deaths[0] = False
            call.host.die()
        else:
            call.answer("200", "tell=warm", b"saved")
        return True

    for host in hosts:
        await host.start()
        host.loaded, host.on_call = {FUNCTION}, on_call
    resolver = Resolver(hosts)
    await resolver.start()
    port, control = free_port(), f"127.0.0.1:{free_port()}"
    activator = run.start("activator", operators_file(port, control, resolver.port), f"127.0.0.1:{port}", control)
    for _ in range(200):
        if "host list Delta" in activator.logged() and await healthy(port):
            break
        if activator.process.poll() is not None:
            raise CannotRun(activator.logged()[-500:])
        await asyncio.sleep(0.05)
    else:
        raise CannotRun("the activator knows no script host after 10 s")
    # Both hosts are in the list by now.
    await asyncio.sleep(0.5)

    run.record.line("client", "calls save-answers with key", KEY)
    answer = await http(port, f"POST /v1/functions/{FUNCTION}/calls HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                              f"Wheellink-Class: save-answers\r\nWheellink-Tenant: kouterzorg\r\nIdempotency-Key: {KEY}\r\n"
                              "Content-Length: 9\r\n\r\nanswers-1")
    run.record.line("client", "gets", answer)
    await asyncio.sleep(1)
    applied = [(host.id, host.cell) for host in hosts for _ in host.runs]
    run.record.line("in all:", f"answers-1 were saved {len(applied)} times, at {applied}")
    if answer is None:
        return "the call has no answer"
    if len(applied) > 1:
        return f"the answers were saved {len(applied)} times, by hosts of different cells: {applied}"
    return None


main(HERE, case)
