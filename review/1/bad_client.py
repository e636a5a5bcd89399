"""A bad client, as a process: keeps requests open at full speed, each for a made-up function, and reads all answers.

Called with the port, the number of open requests and the seconds that it lasts. Prints how many requests it sent and how
they were answered, each second.
"""

import json
import os
import pathlib
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import CODES, request  # noqa: E402


def main(port, most, seconds):
    counts = dict.fromkeys(("sent", "served", "refused", "failed", "ended"), 0)
    connection = socket.create_connection(("127.0.0.1", port))
    connection.settimeout(1)
    stream, data, began, told = 0, b"", time.monotonic(), 0.0

    def next_request():
        nonlocal stream
        stream += 1
        counts["sent"] += 1
        return request(stream, {"kind": "check-score", "req": os.urandom(8).hex(), "timeout": 5000, "owner": "kouterzorg",
                                "subject": os.urandom(8).hex(), "ms": "8.2", "props": "memory_mb:512;lanes:2"}, b"x")

    connection.sendall(b"".join(next_request() for _ in range(most)))
    while time.monotonic() < began + seconds and not counts["ended"]:
        try:
            data += connection.recv(1 << 16)
        except TimeoutError:
            pass
        except OSError:
            counts["ended"] = 1
        out = b""
        while len(data) >= 4 and len(data) >= 4 + (length := struct.unpack("<I", data[:4])[0]):
            kind, code = data[4], data[9]
            data = data[4 + length:]
            if kind == 2:
                counts[CODES[code]] += 1
                out += next_request()
        try:
            connection.sendall(out)
        except OSError:
            counts["ended"] = 1
        if time.monotonic() >= told + 1:
            told = time.monotonic()
            print(json.dumps(counts), flush=True)
    print(json.dumps(counts), flush=True)


main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
