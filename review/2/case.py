"""A mail that waits at the new version of a rollout: the classes change by SIGHUP, and the new version is killed.

With and without that, the first run of the mail ends with an error, after which it may not be sent again.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import PROFILES, Bus, CannotRun, Client, Host, configuration, free_port, main, profile, settings  # noqa: E402

FUNCTION = "7f3a9c21e0b4d655"
CLASSES = PROFILES
# One class more, as a new configuration may have it; all other classes are as before.
CLASSES_AFTER = PROFILES[:2] + [profile("read-scores", "safe", scope="all")] + PROFILES[2:]
PLAN = {"name": "two", "step": [{"percent": 100, "least_ms": 600_000}], "on_fail": "hold", "silent_ms": 1500}
# For comparison, one part of the disruption can be left out: TROUBLE=no-reload or TROUBLE=no-kill.
LEFT_OUT = os.environ.get("TROUBLE", "")


async def until(what, condition, limit=8):
    for _ in range(int(limit / 0.02)):
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"not seen within {limit} s: {what}")


async def case(run):
    bus = Bus()
    await bus.start()
    hosts = [Host(run.record, i, cell=0, load_s=1.1) for i in range(2)]
    for host in hosts:
        await host.start()
    errors = [1]

    async def on_call(call):
        """The other host holds a copy, by the order of somebody else. The first run of the mail ends with an error."""
        for other in hosts:
            if other is not call.host and not any(h.loaded for h in hosts):
                other.loaded.add(FUNCTION)
                other.say("holds", FUNCTION)
        if errors[0] and FUNCTION in call.host.loaded:
            errors[0] = 0
            await call.host.run(call)
            call.answer("500")
            return True
        return False

    for host in hosts:
        host.on_call = on_call
    listen = f"127.0.0.1:{free_port()}"
    port = int(listen.split(":")[1])

    def configured(version, classes, control):
        return configuration(hosts, bus, listen, control, conf=settings(classes), rollout={"version": version})

    controls = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    old = run.start("old", configured("one", CLASSES, controls[0]), listen, controls[0])
    await old.wait_ready(port)
    new = run.start("new", configured("two", CLASSES, controls[1]), listen, controls[1])

    async def caught_up():
        status, text = await old.operate("GET", "/rollout")
        return status == 200 and json.loads(text)["candidate"]["caught_up"]

    await until("the new version as a candidate", caught_up)
    status, text = await old.operate("POST", "/rollout", json.dumps(PLAN))
    run.record.line("operator", "POST /rollout:", status, text)
    if status != 200:
        raise CannotRun("the rollout does not begin")

    # SIGHUP never comes within the first second of a process.
    await asyncio.sleep(1.2)
    client = await Client(run.record).connect(port)
    answer = client.send("send-mail", FUNCTION, b"mail-1", timeout_ms=4000)
    # The host has no copy: the call waits at the new version for the load that it has ordered.
    await until("a load in progress", lambda: any(h.loading for h in hosts))
    if run.trouble:
        if LEFT_OUT != "no-reload":
            for version, activator in (("one", old), ("two", new)):
                activator.write(configured(version, CLASSES_AFTER, activator.control))
                activator.signal(signal.SIGHUP)
            for activator in (old, new):
                await until("the new configuration", lambda: "configuration read again" in activator.logged())
        if LEFT_OUT != "no-kill":
            new.signal(signal.SIGKILL)
        if not any(h.loading for h in hosts):
            raise CannotRun("the load has ended before the disruption: this machine is too slow")
    got = await asyncio.wait_for(answer, 10)
    # A second run or a second answer would come within the time of the request.
    await asyncio.sleep(4)
    runs = [r for h in hosts for r in h.runs if r[3] == "mail-1"]
    answers = client.answers.get(1, [])
    run.record.line("in all:", f"mail-1 ran {len(runs)} times,", f"{len(answers)} answers, the first {got}")
    if len(runs) > 1:
        return f"a mail, which must never run twice, ran {len(runs)} times"
    if len(answers) != 1:
        return f"a request has {len(answers)} final answers"
    return None


main(HERE, case)
