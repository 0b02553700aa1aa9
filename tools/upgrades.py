#!/usr/bin/env python3
"""Upgrades a real node under load, on loopback, and counts the connections and calls that an upgrade disturbs.

The tool plays the platform. It holds the listening socket for clients and starts `lemonstair` with it as descriptor 5. For
each upgrade it starts a new process beside the old one. Once the new process is ready, the old one gets SIGTERM, and
SIGKILL 3.7 s later. Meanwhile clients connect at a constant rate, open tunnels through the node to
`lemonstair_example_server`, and send lines. An upgrade must not cause any of what is counted: connections refused, reset,
moved or left without an answer, lost lines, and unanswered calls to the admin server. The run time is bounded, the tool
binds to addresses in 127.0.0.0/8 only, and it ends each process that it started. Exit status: 0: none was disturbed; 1: some
were, or the run failed; 2: wrong arguments.

    tools/upgrades.py build --upgrades 10 --rate 100
    tools/upgrades.py build --other ../before/build/lemonstair     # the two versions replace each other in turn
"""
import argparse
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

LISTENER_FD = 5
MEAN_TUNNEL_SECONDS = 3.5  # mean time for which a client keeps its tunnel


class Ports:
    """Free ports for other programs to listen on, at a loopback address that only this run uses.

    On 127.0.0.1 the next outgoing connection could use a port that was found free. From this address no connection goes
    out, and no port is returned twice.
    """

    def __init__(self):
        pid = os.getpid()
        self.host = f"127.{64 + (pid >> 14 & 0x3f)}.{pid >> 7 & 0x7f}.{1 + (pid & 0x7f)}"
        self.returned = set()

    def free(self):
        while True:
            with socket.socket() as probe:
                probe.bind((self.host, 0))
                port = probe.getsockname()[1]
            if port not in self.returned:
                self.returned.add(port)
                return port


class Platform:
    """The listening socket, the configuration, the log of all processes, and the processes themselves."""

    def __init__(self, build, other, folder, rate):
        self.build, self.folder = build, folder
        # Each new process runs the next program in turn.
        self.programs = [os.path.join(build, "lemonstair")] + ([other] if other else [])
        self.nodes_started = 0
        # Discovery, and enough endpoints that their load (0.1 for each tunnel) is no reason to move or decline clients.
        self.ports = Ports()
        self.server_ports = [self.ports.free() for _ in range(1 + max(2, int(rate * MEAN_TUNNEL_SECONDS * 0.1 / 0.4)))]
        self.started = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1024)
        self.port = self.listener.getsockname()[1]
        with open(os.path.join(os.path.dirname(__file__), "..", "example", "node.json"), encoding="utf-8") as file:
            config = json.load(file)
        config["listen"] = f"127.0.0.1:{self.port}"
        config["discovery"] = f"{self.ports.host}:{self.server_ports[0]}"
        self.config = os.path.join(folder, "node.json")
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.log = open(os.path.join(folder, "log"), "ab")

    def run(self, command, **arguments):
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log, **arguments)
        self.started.append(process)
        return process

    def start_example_server(self):
        addresses = [f"{self.ports.host}:{port}" for port in self.server_ports]
        server = self.run([os.path.join(self.build, "lemonstair_example_server")] + addresses)
        started = time.monotonic()
        while True:
            try:
                socket.create_connection((self.ports.host, self.server_ports[-1]), 1).close()
                return
            except OSError:
                if server.poll() is not None or time.monotonic() - started > 6:
                    sys.exit("lemonstair_example_server exited or did not listen within 6 s; its log is above")
                time.sleep(0.01)

    def start_node(self):
        """Starts a process of the node; returns it and the port of its admin server."""
        admin = self.ports.free()

        def pass_listener():
            os.dup2(self.listener.fileno(), LISTENER_FD)

        environment = {"NODE_CONFIG": self.config, "TMPDIR": self.folder, "NODE_INHERITED_FD": str(LISTENER_FD),
                       "NODE_ADMIN_ADDR": f"{self.ports.host}:{admin}", "PATH": os.environ.get("PATH", "")}
        program = self.programs[self.nodes_started % len(self.programs)]
        self.nodes_started += 1
        return self.run([program], env=environment, pass_fds=[LISTENER_FD],
                        close_fds=True, preexec_fn=pass_listener), admin

    def stop_all(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.listener.close()
        self.log.close()


async def call(host, port, method, path):
    """Status and body of one HTTP request to the admin server; status 0 where there is no response within a second."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
        answer = await asyncio.wait_for(reader.read(), 1)
        writer.close()
        return int(answer[9:12]), answer.partition(b"\r\n\r\n")[2]
    except (OSError, ValueError, asyncio.TimeoutError):
        return 0, b""


class Load:
    """Clients that open tunnels and send lines, and counts of what happens to them."""

    def __init__(self, port):
        self.port, self.number, self.stopped = port, 0, False
        self.counts = dict(opened=0, declined=0, refused=0, reset=0, unread=0, moved=0, lines=0, lines_lost=0)

    async def client(self, seconds):
        self.number += 1
        line = f"OPEN c{self.number} k{self.number % 500} c=chat,d=2000\r\n".encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.counts["refused"] += 1
            return
        try:
            writer.write(line)
            answer = await asyncio.wait_for(reader.readline(), 2.05)
            if not answer.startswith(b"UP"):
                self.counts["declined" if answer.startswith(b"BUSY") else "unread"] += 1
                return
            self.counts["opened"] += 1
            until = time.monotonic() + seconds
            while time.monotonic() < until and not self.stopped:
                sent = f"m {time.monotonic_ns()}\r\n".encode()
                writer.write(sent)
                while True:
                    answer_line = await asyncio.wait_for(reader.readline(), 2)
                    if answer_line == b"MOVE\r\n":
                        self.counts["moved"] += 1
                        return
                    if answer_line == b"":
                        self.counts["reset"] += 1
                        return
                    if not answer_line.startswith(b"LOAD"):
                        break
                self.counts["lines"] += 1
                self.counts["lines_lost"] += 0 if sent.strip() in answer_line else 1
                await asyncio.sleep(0.2)
        except asyncio.TimeoutError:
            self.counts["unread"] += 1
        except OSError:
            self.counts["reset"] += 1
        finally:
            writer.close()

    async def connect_clients(self, rate):
        """Starts clients at a constant rate, regardless of how earlier ones fare, until `stopped` is set."""
        clients, started, arrived = [], time.monotonic(), 0
        while not self.stopped:
            while arrived < (time.monotonic() - started) * rate:
                arrived += 1
                clients.append(asyncio.ensure_future(self.client(0.5 + arrived % 7)))
            await asyncio.sleep(0.002)
        await asyncio.gather(*clients)


async def run_upgrades(platform, options):
    host = platform.ports.host
    platform.start_example_server()
    old, admin = platform.start_node()
    load = Load(platform.port)
    started = time.monotonic()
    while (await call(host, admin, "GET", "/healthcheck"))[0] != 200:
        if time.monotonic() - started > 6:
            sys.exit("the node was not ready within 6 s; its log is above")
        await asyncio.sleep(0.02)
    arrivals = asyncio.ensure_future(load.connect_clients(options.rate))
    await asyncio.sleep(1)
    ready_seconds, unanswered_calls = [], 0
    for _ in range(options.upgrades):
        new, new_admin = platform.start_node()
        started = time.monotonic()
        while (await call(host, new_admin, "GET", "/healthcheck"))[0] != 200:
            if time.monotonic() - started > 6:
                sys.exit("a new process was not ready within 6 s; the log is above")
            await asyncio.sleep(0.01)
        ready_seconds.append(time.monotonic() - started)
        old.send_signal(signal.SIGTERM)
        signalled = time.monotonic()
        while old.poll() is None and time.monotonic() - signalled < 3.7:
            await asyncio.sleep(0.02)
        if old.poll() is None:
            old.kill()
        old, admin = new, new_admin
        unanswered_calls += (await call(host, admin, "GET", "/stats"))[0] != 200
        await asyncio.sleep(options.pause)
    load.stopped = True
    await arrivals
    counts = load.counts
    disturbed = sum(counts[name] for name in ("refused", "reset", "unread", "moved", "lines_lost")) + unanswered_calls
    print(f"{options.upgrades} upgrades at {options.rate:g} clients a second: ready after "
          f"{max(ready_seconds) * 1000:.0f} ms at most; " + ", ".join(f"{name} {count}" for name, count in counts.items()) +
          f", calls unanswered {unanswered_calls}")
    print(f"{disturbed} connections or calls were disturbed by an upgrade")
    return 0 if disturbed == 0 and counts["opened"] > 0 else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", help="the folder that holds lemonstair and lemonstair_example_server")
    parser.add_argument("--other", help="the program of another version; the two versions replace each other in turn")
    parser.add_argument("--upgrades", type=int, default=10)
    parser.add_argument("--rate", type=float, default=100, help="clients a second")
    parser.add_argument("--pause", type=float, default=0.3, help="seconds between upgrades")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lemonstair-upgrades-") as folder:
        platform = Platform(options.build, options.other, folder, options.rate)
        try:
            return asyncio.run(asyncio.wait_for(run_upgrades(platform, options), 60 + 8 * options.upgrades))
        finally:
            platform.stop_all()
            if sys.exc_info()[0] is not None:
                with open(os.path.join(folder, "log"), encoding="utf-8", errors="replace") as log:
                    sys.stderr.write(log.read()[-4000:])


if __name__ == "__main__":
    sys.exit(main())
