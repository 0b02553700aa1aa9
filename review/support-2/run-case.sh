#!/bin/sh
# Usage: review/support-2/run-case.sh FOLDER. Runs the case of a folder such as review/6, from the repository's root.
# TROUBLE=0 leaves the disruption out. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=build-review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x build/lemonstair ]; then
    echo "missing: run the deploy file's build and review/build-2.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$program" "$folder" "$temporary" &
child=$!
trap 'kill "$child"; exit 2' INT TERM HUP
wait "$child"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
