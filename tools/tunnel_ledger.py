#!/usr/bin/env python3
"""What became of the tunnels of a fleet, from the debug logs of all its nodes (LEMONSTAIR_LOG=debug).

    tools/tunnel_ledger.py LOGS [--every S]      a row for each span of S seconds: taken, sent, and how it ended
    tools/tunnel_ledger.py LOGS --follow KEY     all that happened to the client with this key, at every node

LOGS is a folder with one log a node. A tunnel is new, again (its client comes back from a break or a move) or mid
(its packets come through another node). Held and copies (of groups, one for each host that holds any) are levels at
the end of a span, by the age of the host in the list: old, young (started since), draining, gone. A node that is
killed writes no end of its tunnels: what it held stays in held.
"""
import argparse
import collections
import pathlib
import re

TAKEN = re.compile(r"tunnel (\d+) accepted: OPEN (\S+) (\S+) (\S*)")
SETUP = re.compile(r"tunnel (\d+) attempt (\d+) at endpoint (\d+)")
FAILED = re.compile(r"tunnel (\d+) attempt (\d+) failed, outcome (\d)")
STATE = re.compile(r"tunnel (\d+): (.+) -> (.+)")
OVER = re.compile(r"tunnel (\d+) at endpoint (\d+) ended, outcome (\d)")
HOST = re.compile(r"endpoint (\S+), number (\d+), listed as (\w+), up since (\d+)")
ENDINGS = ["served", "error", "full", "timed out", "unreachable", "broken", "called off", "not sent"]
AGES = {"in_service": "young", "terminating": "draining", "terminated": "gone"}


def kind_of(words):
    return "mid" if "mid=1" in words else "again" if "again=1" in words else "new"


def events(log):
    """(time, node, what, tunnel) of one node's log; a tunnel is a dict that lives while its number is in use."""
    tunnels = {}
    for line in log.read_text(errors="replace").splitlines():
        at, _, rest = line.partition(" ")
        try:
            at = float(at)
        except ValueError:
            continue
        if found := TAKEN.search(rest):
            words = found[4].split(",")
            group = next((w[2:] for w in words if w.startswith("g=")), "")
            tunnel = {"id": found[2], "key": found[3], "kind": kind_of(words), "group": group, "ep": None, "up": False}
            tunnels[found[1]] = tunnel
            yield at, log.stem, "taken", tunnel
        elif (found := SETUP.search(rest)) and found[1] in tunnels:
            tunnels[found[1]]["ep"] = found[3]
            yield at, log.stem, "sent", tunnels[found[1]]
        elif (found := FAILED.search(rest)) and found[1] in tunnels:
            yield at, log.stem, "setup " + ENDINGS[int(found[3])], tunnels[found[1]]
        elif (found := OVER.search(rest)) and found[1] in tunnels:
            tunnel = tunnels[found[1]]
            if tunnel["up"]:
                yield at, log.stem, "then " + ENDINGS[int(found[3])], tunnel
        elif (found := STATE.search(rest)) and found[1] in tunnels:
            tunnel = tunnels[found[1]]
            if found[3] == "open" and not tunnel["up"]:
                tunnel["up"] = True
                yield at, log.stem, "up", tunnel
            elif found[3] == "closing" and not tunnel["up"]:
                yield at, log.stem, "given up", tunnel
            elif found[3] == "free":
                del tunnels[found[1]]


def read(folder):
    """All events in the order of time, and when each ep was first told to be of an age."""
    all_events, ages = [], collections.defaultdict(dict)
    for log in sorted(pathlib.Path(folder).glob("*.log")):
        # A tunnel changes while its log is read: what an event tells is copied.
        all_events += [(at, node, what, dict(tunnel)) for at, node, what, tunnel in events(log)]
        for line in log.read_text(errors="replace").splitlines():
            if found := HOST.search(line):
                age = AGES[found[3]]
                at = float(line.partition(" ")[0])
                ages[found[2]][age] = min(at, ages[found[2]].get(age, at))
    return sorted(all_events, key=lambda e: e[0]), ages


def age_at(ages, at):
    return next((a for a in ("gone", "draining", "young") if ages.get(a, at + 1) <= at), "old")


def table(all_events, ages, every):
    """(begin of a span, counts by (what, kind), levels by age of host as (hosts, held, copies))."""
    held = collections.defaultdict(list)
    rows, counts, begin = [], collections.Counter(), 0

    def levels(at):
        out = collections.defaultdict(lambda: [0, 0, 0])
        for ep, groups in held.items():
            row = out[age_at(ages[ep], at)]
            row[0] += 1
            row[1] += len(groups)
            row[2] += len(set(groups))
        return dict(out)

    for at, _, what, tunnel in all_events:
        while at >= begin + every:
            rows.append((begin, counts, levels(begin + every)))
            counts, begin = collections.Counter(), begin + every
        counts[what, tunnel["kind"]] += 1
        if what == "up":
            held[tunnel["ep"]].append(tunnel["group"])
        elif what.startswith("then ") and tunnel["group"] in held[tunnel["ep"]]:
            held[tunnel["ep"]].remove(tunnel["group"])
    if counts:
        rows.append((begin, counts, levels(begin + every)))
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs")
    parser.add_argument("--every", type=float, default=2)
    parser.add_argument("--follow", metavar="KEY")
    given = parser.parse_args()
    all_events, ages = read(given.logs)
    if given.follow:
        for at, node, what, tunnel in all_events:
            if tunnel["key"] == given.follow:
                place = f"ep {tunnel['ep']} ({age_at(ages[tunnel['ep']], at)})" if tunnel["ep"] else ""
                print(f"{at:8.3f} {node:6} {tunnel['id']} {tunnel['kind']:5} {what:18} {place}")
        return
    for begin, counts, levels in table(all_events, ages, given.every):
        print(f"{begin:6.1f} s  " + ", ".join(f"{w} {k} {n}" for (w, k), n in sorted(counts.items())))
        for age, (hosts, held, copies) in sorted(levels.items()):
            print(f"          {age} hosts {hosts}, held {held}, copies {copies}")


if __name__ == "__main__":
    main()
