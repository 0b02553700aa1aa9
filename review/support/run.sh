#!/bin/sh
# Runs the test of the folder FOLDER: support/run.sh FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the
# test could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/build/review/case$(basename "$folder")"
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ ! -x "$root/build/lemonstair" ] || [ -z "$command" ]; then
    echo "build the node by deploy/balancer.toml and run review/build.sh first" >&2
    exit 2
fi
# A short path: the node puts a local socket there, and its name may have 107 bytes.
temporary=$(mktemp -d /tmp/review.XXXXXX) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 1 115 "$program" "$root" "$command" "$folder" "$temporary"
status=$?
[ $status -le 1 ] || status=2
exit $status
