"""Samples one instance and reports medians over runs, for scripts/bench-slopes.

slopes.py sample PID CALLERS PEERS SECONDS OUT   one window, as JSON
slopes.py calls PLATFORM                         counters of the platform, as JSON
slopes.py rates BEFORE AFTER                     platform calls/s between two counters
slopes.py report NAME FILE...                             medians over windows
slopes.py force START VERSION LOG...                      time until a version is in force everywhere
"""
import json
import os
import re
import statistics
import subprocess
import sys
import time
import urllib.request
from datetime import datetime

# The numbers of epoll_wait and epoll_pwait on amd64.
EPOLL_CALLS = ("232", "281")
# LOOKS and LOOK_PAUSE, in seconds, are how often a thread's call is looked at.
LOOKS = 20
LOOK_PAUSE = 0.01


def payload(pid):
    """Bytes sent and received on the established TCP sockets of a process, headers excluded."""
    text = subprocess.run(["ss", "-tinpH", "state", "established"], capture_output=True, text=True).stdout
    sent = received = 0
    mine = False
    for line in text.splitlines():
        if not line[0].isspace():
            mine = f"pid={pid}," in line
            continue
        if mine:
            found = dict(re.findall(r"(bytes_sent|bytes_received):(\d+)", line))
            sent += int(found.get("bytes_sent", 0))
            received += int(found.get("bytes_received", 0))
    return sent, received


def calls(platform):
    with urllib.request.urlopen(f"http://{platform}/stats") as answer:
        return {"at": time.monotonic(), **json.load(answer)["calls"]}


def rates(before, after):
    before, after = json.load(open(before)), json.load(open(after))
    seconds = after.pop("at") - before["at"]
    kinds = {kind: (n - before.get(kind, 0)) / seconds for kind, n in after.items()}
    print("  platform calls/s:", ", ".join(f"{kind} {rate:.2f}" for kind, rate in kinds.items() if rate), f"over {seconds:.0f} s")


def listening(port):
    for line in open("/proc/net/tcp"):
        fields = line.split()
        if len(fields) > 9 and fields[3] == "0A" and int(fields[1].split(":")[1], 16) == port:
            return fields[9]
    return None


def look(pid, names, threads):
    for thread in os.listdir(f"/proc/{pid}/task"):
        try:
            call = open(f"/proc/{pid}/task/{thread}/syscall").read().split()
        except OSError:
            continue
        if call and call[0] in EPOLL_CALLS and int(call[1], 16) in names:
            threads[int(thread)] = names[int(call[1], 16)]


def loops(pid, callers, peers):
    """Names the thread of each reactor by the listening socket in its epoll instance."""
    ports = {listening(callers): "callerio", listening(peers): "rpc"}
    sockets = {}
    for fd in os.listdir(f"/proc/{pid}/fd"):
        try:
            sockets[fd] = os.readlink(f"/proc/{pid}/fd/{fd}")
        except OSError:
            continue
    names = {}
    for fd, target in sockets.items():
        if target != "anon_inode:[eventpoll]":
            continue
        watched = re.findall(r"tfd:\s*(\d+)", open(f"/proc/{pid}/fdinfo/{fd}").read())
        inodes = [sockets.get(w, "").removeprefix("socket:[").removesuffix("]") for w in watched]
        names[int(fd)] = next((ports[i] for i in inodes if i in ports), "other reactor")
    threads = {}
    # A busy thread is seen in its epoll call only now and then.
    for _ in range(LOOKS):
        look(pid, names, threads)
        time.sleep(LOOK_PAUSE)
    return threads


def sample(pid, callers, peers, seconds, out):
    began, bytes_before = time.monotonic(), payload(pid)
    text = subprocess.run(["bin/measure", "process", "-pid", pid, "-seconds", seconds],
                          capture_output=True, text=True, check=True).stdout
    # The list of sockets takes time itself, so the bytes have a window of their own.
    window, bytes_after = time.monotonic() - began, payload(pid)
    use = json.loads(text)
    figures = {
        "CPU, % of a core": use["cpu_percent"],
        "resident MB": use["resident_bytes"] / 1e6,
        "sockets": use["sockets"],
        "sent B/s": (bytes_after[0] - bytes_before[0]) / window,
        "received B/s": (bytes_after[1] - bytes_before[1]) / window,
    }
    names = loops(int(pid), int(callers), int(peers))
    others = []
    for thread in use["threads"]:
        name = names.get(thread["thread"])
        if name:
            label = f"CPU of {name}, %"
            figures[label] = figures.get(label, 0) + thread["cpu_percent"]
        else:
            others.append(thread["cpu_percent"])
    for i, percent in enumerate(sorted(others, reverse=True)[:3]):
        figures[f"CPU of thread {i + 1} that is no reactor, %"] = percent
    json.dump(figures, open(out, "w"))


def report(name, files):
    print(name)
    runs = [json.load(open(f)) for f in files]
    for key in runs[0]:
        values = [r[key] for r in runs if key in r]
        print(f"  {key}: median {statistics.median(values):.2f} (range {min(values):.2f} to {max(values):.2f})")


def force(start, version, logs):
    times = []
    for log in logs:
        for line in open(log):
            event = json.loads(line) if line.startswith("{") else {}
            if event.get("event") == "catalogue_in_force" and event.get("version") == int(version):
                times.append(datetime.fromisoformat(event["time"][:26] + "+00:00").timestamp() - float(start))
                break
    print(json.dumps({"instances": len(times), "ms until in force on the last": 1000 * max(times)}))


if __name__ == "__main__":
    command, *args = sys.argv[1:]
    if command == "sample":
        sample(*args)
    elif command == "calls":
        print(json.dumps(calls(args[0])))
    elif command == "rates":
        rates(*args)
    elif command == "report":
        report(args[0], args[1:])
    else:
        force(args[0], args[1], args[2:])
