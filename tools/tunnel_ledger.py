#!/usr/bin/env python3
"""Shows the outcome of a fleet's tunnels, from the debug logs of all its nodes (LEMONSTAIR_LOG=debug).

    tools/tunnel_ledger.py LOGS [--every S]      a row for each S seconds: tunnels accepted, attempts sent, outcomes
    tools/tunnel_ledger.py LOGS --follow KEY     all events of the client with this key, on every node

LOGS is a folder with one file NAME.log for each node. A tunnel is `new`, `again` (its client reconnects after a lost
connection or a move) or `mid` (mid-flow: it is open already, and now goes through another node). The second part of a row
has the levels at the end of the interval, by age of the endpoint: the number of endpoints (`hosts`), the tunnels open on
them (`held`), and the copies of groups (`copies`, one for each pair of group and endpoint that has a tunnel of the group).
The age is from the endpoint list: `old`, `young` (started since), `draining` or `gone`. A node that is killed does not log
the end of its tunnels, so that they remain in `held`.
"""
import argparse
import collections
import pathlib
import re

ACCEPTED = re.compile(r"tunnel (\d+) accepted: OPEN (\S+) (\S+) (\S*)")
ATTEMPT = re.compile(r"tunnel (\d+) attempt (\d+) at endpoint (\d+)")
FAILED = re.compile(r"tunnel (\d+) attempt (\d+) failed, outcome (\d)")
STATE = re.compile(r"tunnel (\d+): (.+) -> (.+)")
ENDED = re.compile(r"tunnel (\d+) at endpoint (\d+) ended, outcome (\d)")
LISTED = re.compile(r"endpoint (\S+), number (\d+), listed as (\w+), up since (\d+)")
# By the number of an Outcome in the log.
OUTCOME_LABELS = ["served", "error", "overloaded", "timed out", "unreachable", "connection lost", "cancelled", "not sent"]
AGES = {"in_service": "young", "terminating": "draining", "terminated": "gone"}


def kind_of(parameters):
    return "mid" if "mid=1" in parameters else "again" if "again=1" in parameters else "new"


def events(log):
    """Yields (time, node, event name, tunnel) from one node's log. The tunnel is a dict that changes with later events."""
    tunnels = {}
    for line in log.read_text(errors="replace").splitlines():
        at, _, rest = line.partition(" ")
        try:
            at = float(at)
        except ValueError:
            continue
        if match := ACCEPTED.search(rest):
            parameters = match[4].split(",")
            group = next((p[2:] for p in parameters if p.startswith("g=")), "")
            tunnel = {"id": match[2], "key": match[3], "kind": kind_of(parameters), "group": group,
                      "endpoint": None, "open": False}
            tunnels[match[1]] = tunnel
            yield at, log.stem, "accepted", tunnel
        elif (match := ATTEMPT.search(rest)) and match[1] in tunnels:
            tunnels[match[1]]["endpoint"] = match[3]
            yield at, log.stem, "attempt sent", tunnels[match[1]]
        elif (match := FAILED.search(rest)) and match[1] in tunnels:
            yield at, log.stem, "attempt " + OUTCOME_LABELS[int(match[3])], tunnels[match[1]]
        elif (match := ENDED.search(rest)) and match[1] in tunnels:
            tunnel = tunnels[match[1]]
            if tunnel["open"]:
                yield at, log.stem, "ended: " + OUTCOME_LABELS[int(match[3])], tunnel
        elif (match := STATE.search(rest)) and match[1] in tunnels:
            tunnel = tunnels[match[1]]
            if match[3] == "open" and not tunnel["open"]:
                tunnel["open"] = True
                yield at, log.stem, "opened", tunnel
            elif match[3] == "closing" and not tunnel["open"]:
                yield at, log.stem, "not opened", tunnel
            elif match[3] == "free":
                del tunnels[match[1]]


def read(folder):
    """All events by time, and for each endpoint the time when it was first listed with each age."""
    all_events, ages = [], collections.defaultdict(dict)
    for log in sorted(pathlib.Path(folder).glob("*.log")):
        # Copied, because later events change the tunnel.
        all_events += [(at, node, name, dict(tunnel)) for at, node, name, tunnel in events(log)]
        for line in log.read_text(errors="replace").splitlines():
            if match := LISTED.search(line):
                age = AGES[match[3]]
                at = float(line.partition(" ")[0])
                ages[match[2]][age] = min(at, ages[match[2]].get(age, at))
    return sorted(all_events, key=lambda event: event[0]), ages


def age_at(ages, at):
    return next((age for age in ("gone", "draining", "young") if ages.get(age, at + 1) <= at), "old")


def table(all_events, ages, every):
    """For each interval: its start, event counts by (event name, kind), and (hosts, held, copies) by age of endpoint."""
    held = collections.defaultdict(list)
    rows, counts, start = [], collections.Counter(), 0

    def levels(at):
        by_age = collections.defaultdict(lambda: [0, 0, 0])
        for endpoint, groups in held.items():
            row = by_age[age_at(ages[endpoint], at)]
            row[0] += 1
            row[1] += len(groups)
            row[2] += len(set(groups))
        return dict(by_age)

    for at, _, name, tunnel in all_events:
        while at >= start + every:
            rows.append((start, counts, levels(start + every)))
            counts, start = collections.Counter(), start + every
        counts[name, tunnel["kind"]] += 1
        if name == "opened":
            held[tunnel["endpoint"]].append(tunnel["group"])
        elif name.startswith("ended: ") and tunnel["group"] in held[tunnel["endpoint"]]:
            held[tunnel["endpoint"]].remove(tunnel["group"])
    if counts:
        rows.append((start, counts, levels(start + every)))
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs")
    parser.add_argument("--every", type=float, default=2)
    parser.add_argument("--follow", metavar="KEY")
    options = parser.parse_args()
    all_events, ages = read(options.logs)
    if options.follow:
        for at, node, name, tunnel in all_events:
            if tunnel["key"] == options.follow:
                number = tunnel["endpoint"]
                place = f"endpoint {number} ({age_at(ages[number], at)})" if number else ""
                print(f"{at:8.3f} {node:6} {tunnel['id']} {tunnel['kind']:5} {name:22} {place}")
        return
    for start, counts, levels in table(all_events, ages, options.every):
        print(f"{start:6.1f} s  " + ", ".join(f"{name} {kind} {count}" for (name, kind), count in sorted(counts.items())))
        for age, (hosts, held, copies) in sorted(levels.items()):
            print(f"          {age} hosts {hosts}, held {held}, copies {copies}")


if __name__ == "__main__":
    main()
