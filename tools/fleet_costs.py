#!/usr/bin/env python3
"""Adds up, over the logs of all nodes of a fleet, what each did that others pay for.

    tools/fleet_costs.py LOGS [--by-second]

LOGS is a folder with one log a node. Figures are those of the nodes' "second:" lines (src/metrics/resource_counters.h);
those that end in _held are levels, the others amounts. With --by-second a row for each second.
"""
import argparse
import collections
import pathlib
import re

LINE = re.compile(r"^(\d+\.\d+) second:(.*)")


def read(folder):
    """(second, name) -> sum over nodes; and the same by node for the largest."""
    sums, of_nodes = collections.Counter(), collections.Counter()
    for log in sorted(pathlib.Path(folder).glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            found = LINE.match(line)
            if not found:
                continue
            second = int(float(found[1]))
            for pair in found[2].split():
                name, _, value = pair.partition("=")
                sums[second, name] += int(value)
                of_nodes[log.stem, name] += int(value)
    return sums, of_nodes


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs")
    parser.add_argument("--by-second", action="store_true")
    given = parser.parse_args()
    sums, of_nodes = read(given.logs)
    names = sorted({name for _, name in sums})
    print(f"{'figure':28} {'total':>9} {'most a second':>14} {'at':>4} {'most of a node':>15}")
    for name in names:
        seconds = {s: v for (s, n), v in sums.items() if n == name}
        at = max(seconds, key=seconds.get)
        node, most = max(((node, v) for (node, n), v in of_nodes.items() if n == name), key=lambda p: p[1])
        total = "-" if name.endswith("_held") else sum(seconds.values())
        print(f"{name:28} {total:>9} {seconds[at]:>14} {at:>4} {most:>10} {node}")
    if given.by_second:
        print("\nsecond " + " ".join(f"{n[-9:]:>9}" for n in names))
        for second in sorted({s for s, _ in sums}):
            print(f"{second:6} " + " ".join(f"{sums[second, n]:9}" for n in names))


if __name__ == "__main__":
    main()
