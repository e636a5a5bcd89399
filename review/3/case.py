"""A crowd of silent connections comes while a client of the invoke front reads a long answer."""

import asyncio
import pathlib
import re
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import ROOT, CannotRun, Host, Resolver, free_port, main  # noqa: E402

FUNCTION = "7f3a9c21e0b4d655"
SOCKETS = 256
# A long answer, as one in sixteen is.
ANSWER = b"a" * 230_000
CROWD = 400
# The client reads so many bytes every 20 ms: 200 KB a second. Its buffer and segments are small, as over a network;
# on the loopback interface the system would otherwise take the whole answer at once.
READ, BUFFER, SEGMENT = 4_000, 4_096, 1_460


def operators_file(port, control, resolver):
    text = (ROOT / "deploy/invoke.toml").read_text()
    values = {"listen": f'"127.0.0.1:{port}"', "control": f'"{control}"', "resolver": f'"127.0.0.1:{resolver}"',
              "sockets": str(SOCKETS)}
    for key, value in values.items():
        text = re.sub(rf"^{key} = [^#\n]*", f"{key} = {value} ", text, flags=re.M)
    return text


async def healthy(port):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


def connect_crowd(port):
    crowd = []
    for _ in range(CROWD):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(("127.0.0.1", port))
        crowd.append(client)
    return crowd


async def case(run):
    host = Host(run.record, 0)
    await host.start()
    host.loaded = {FUNCTION}

    async def on_call(call):
        await host.run(call)
        call.answer("200", "tell=warm", ANSWER)
        return True

    host.on_call = on_call
    resolver = Resolver([host])
    await resolver.start()
    port, control = free_port(), f"127.0.0.1:{free_port()}"
    activator = run.start("activator", operators_file(port, control, resolver.port), f"127.0.0.1:{port}", control)
    for _ in range(200):
        if await healthy(port):
            break
        if activator.process.poll() is not None:
            raise CannotRun(activator.logged()[-500:])
        await asyncio.sleep(0.05)
    else:
        raise CannotRun("the activator knows no script host after 10 s")

    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    client.setblocking(False)
    await loop.sock_connect(client, ("127.0.0.1", port))
    call = (f"POST /v1/functions/{FUNCTION}/calls HTTP/1.1\r\nHost: a\r\nWheellink-Class: send-mail\r\n"
            "Wheellink-Tenant: kouterzorg\r\nContent-Length: 6\r\n\r\nmail-1")
    await loop.sock_sendall(client, call.encode())
    run.record.line("client", "sends send-mail mail-1")

    got, end, crowd, began = b"", None, [], time.monotonic()
    while end is None and time.monotonic() - began < 20:
        try:
            data = await asyncio.wait_for(loop.sock_recv(client, READ), 5)
        except (OSError, asyncio.TimeoutError) as e:
            end = repr(e)
            break
        got += data
        if not data:
            end = "the connection has ended"
        head, _, body = got.partition(b"\r\n\r\n")
        if len(body) >= len(ANSWER):
            end = "whole"
        if run.trouble and not crowd and len(got) >= 8_000:
            run.record.line("crowd", f"opens {CROWD} connections and says nothing")
            crowd = connect_crowd(port)
        await asyncio.sleep(0.02)
    head, _, body = got.partition(b"\r\n\r\n")
    status = head.split(b"\r\n")[0].decode()
    run.record.line("client", f"gets {status!r} with {len(body)} of {len(ANSWER)} bytes; {end}")
    run.record.line("in all:", f"the mail ran {len(host.runs)} times")
    whole = body == ANSWER and b"200" in head.split(b"\r\n")[0]
    for other in crowd:
        other.close()
    if len(host.runs) != 1:
        return f"the mail ran {len(host.runs)} times" if host.runs else None
    return None if whole else f"the answer was cut off after {len(body)} of {len(ANSWER)} bytes by the activator"


main(HERE, case)
