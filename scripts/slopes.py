"""Samples one instance and reports medians over runs, for scripts/bench-slopes.

slopes.py sample PID CALLERS PEERS SECONDS OUT   one window, as JSON
slopes.py calls PLATFORM                         counters of the platform, as JSON
slopes.py rates BEFORE AFTER                     platform calls/s between two counters
slopes.py report NAME FILE...                    medians over windows
slopes.py force START VERSION LOG...             time until the last instance has applied a version, as JSON
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

# System call numbers of epoll_wait and epoll_pwait on amd64.
EPOLL_CALLS = ("232", "281")
# Each thread's current system call is read THREAD_SAMPLES times, at this interval in seconds.
THREAD_SAMPLES = 20
THREAD_SAMPLE_INTERVAL = 0.01


def payload(pid):
    """Bytes sent and received on the established TCP sockets of a process, headers excluded."""
    text = subprocess.run(["ss", "-tinpH", "state", "established"], capture_output=True, text=True).stdout
    sent = received = 0
    matches = False
    for line in text.splitlines():
        if not line[0].isspace():
            matches = f"pid={pid}," in line
            continue
        if matches:
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
    """Returns the inode of the socket that listens on the port, or None."""
    for line in open("/proc/net/tcp"):
        fields = line.split()
        if len(fields) > 9 and fields[3] == "0A" and int(fields[1].split(":")[1], 16) == port:
            return fields[9]
    return None


def find_reactors(pid, names, threads):
    """Adds to threads every thread that is waiting in a known epoll instance; names has the reactor by descriptor."""
    for thread in os.listdir(f"/proc/{pid}/task"):
        try:
            call = open(f"/proc/{pid}/task/{thread}/syscall").read().split()
        except OSError:
            continue
        if call and call[0] in EPOLL_CALLS and int(call[1], 16) in names:
            threads[int(thread)] = names[int(call[1], 16)]


def reactor_threads(pid, callers, peers):
    """Returns the reactor's name for each reactor thread, found by the listening socket in its epoll instance."""
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
    # A busy thread is in its epoll call only part of the time.
    for _ in range(THREAD_SAMPLES):
        find_reactors(pid, names, threads)
        time.sleep(THREAD_SAMPLE_INTERVAL)
    return threads


def sample(pid, callers, peers, seconds, out):
    started, bytes_before = time.monotonic(), payload(pid)
    text = subprocess.run(["bin/measure", "process", "-pid", pid, "-seconds", seconds],
                          capture_output=True, text=True, check=True).stdout
    # Listing the sockets takes time, so the byte counts have a separate window.
    window, bytes_after = time.monotonic() - started, payload(pid)
    use = json.loads(text)
    figures = {
        "CPU, % of a core": use["cpu_percent"],
        "resident MB": use["resident_bytes"] / 1e6,
        "sockets": use["sockets"],
        "sent B/s": (bytes_after[0] - bytes_before[0]) / window,
        "received B/s": (bytes_after[1] - bytes_before[1]) / window,
    }
    names = reactor_threads(int(pid), int(callers), int(peers))
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


def time_in_force(start, version, logs):
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
        time_in_force(args[0], args[1], args[2:])
