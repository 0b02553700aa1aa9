#!/usr/bin/env bash
# Runs the simulator adapter on a hand-written transcript, and on invalid input, which it must refuse with exit status 1, one
# line on standard error, and no output.
set -u
adapter=$1 here=$2 bad=0
expect() {  # name, expected, actual
    [ "$2" = "$3" ] || { echo "$1: expected: $2"; echo "$1: actual: $3"; bad=1; }
}
got=$("$adapter" < "$here/wire_in.txt" | grep -v -e WakeMe -e SayLog); code=$?
expect transcript "$(cat "$here/wire_out.txt")" "$got"
refuse() {  # name, part of the message, input
    local message out
    message=$(printf '%b' "$3" | "$adapter" 2>&1 >/dev/null); code=$?
    out=$(printf '%b' "$3" | "$adapter" 2>/dev/null | head -c 1)
    expect "$1: exit" 1 "$code"
    expect "$1: lines" 1 "$(printf '%s\n' "$message" | wc -l)"
    expect "$1: nothing on the wire" "" "$out"
    case $message in *"$2"*) ;; *) echo "$1: message lacks '$2': $message"; bad=1 ;; esac
}
refuse garbage "expected a JSON value" 'nonsense\n'
refuse unknown "expected an enlisted instance" '{"Batch":{"ts":1}}\n{"Riddle":{"who":0}}\n'
refuse stranger "expected an enlisted instance" '{"Batch":{"ts":1}}\n{"ClientLeft":{"who":3,"ticket":1}}\n'
refuse missing "'ts' is missing" '{"Batch":{}}\n'
refuse mistyped "'ts' must be a number, got \"x\"" '{"Batch":{"ts":"x"}}\n'
refuse cut "expected Go before the end of input" '{"Batch":{"ts":1}}\n'
refuse half "expected a line end before the end of input" '{"Batch"'
exit $bad
