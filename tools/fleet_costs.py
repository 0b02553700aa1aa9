#!/usr/bin/env python3
"""Sums up the resource use of a fleet, such as setups, health checks and gossip, from the logs of all its nodes.

    tools/fleet_costs.py LOGS [--by-second]

LOGS is a folder with one file NAME.log for each node. The figures are those of the nodes' "second:" lines, which are
described in src/metrics/resource_counters.h. Figures that end in _held are levels, the others are amounts in that second.
With --by-second the output has a row for each second as well.
"""
import argparse
import collections
import pathlib
import re

LINE = re.compile(r"^(\d+\.\d+) second:(.*)")


def read(folder):
    """The sums over all nodes by (second, figure), and the sums over all seconds by (node, figure)."""
    by_second, by_node = collections.Counter(), collections.Counter()
    for log in sorted(pathlib.Path(folder).glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            match = LINE.match(line)
            if not match:
                continue
            second = int(float(match[1]))
            for pair in match[2].split():
                name, _, value = pair.partition("=")
                by_second[second, name] += int(value)
                by_node[log.stem, name] += int(value)
    return by_second, by_node


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs")
    parser.add_argument("--by-second", action="store_true")
    options = parser.parse_args()
    by_second, by_node = read(options.logs)
    names = sorted({name for _, name in by_second})
    print(f"{'figure':28} {'total':>9} {'most a second':>14} {'at':>4} {'most of a node':>15}")
    for name in names:
        seconds = {second: value for (second, figure), value in by_second.items() if figure == name}
        peak = max(seconds, key=seconds.get)
        node, most = max(((node, value) for (node, figure), value in by_node.items() if figure == name),
                         key=lambda pair: pair[1])
        total = "-" if name.endswith("_held") else sum(seconds.values())
        print(f"{name:28} {total:>9} {seconds[peak]:>14} {peak:>4} {most:>10} {node}")
    if options.by_second:
        print("\nsecond " + " ".join(f"{name[-9:]:>9}" for name in names))
        for second in sorted({second for second, _ in by_second}):
            print(f"{second:6} " + " ".join(f"{by_second[second, name]:9}" for name in names))


if __name__ == "__main__":
    main()
