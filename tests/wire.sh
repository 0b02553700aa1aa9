#!/usr/bin/env bash
# The adapter on a hand-written transcript, and on input that does not follow its protocol.
set -u
adapter=$1 here=$2 bad=0
expect() {  # name, wanted, got
    [ "$2" = "$3" ] || { echo "$1: wanted: $2"; echo "$1: got: $3"; bad=1; }
}
got=$("$adapter" < "$here/wire_in.txt" | grep -v -e WakeMe -e SayLog); code=$?
expect transcript "$(cat "$here/wire_out.txt")" "$got"
refuse() {  # name, part of the error message, input
    local told out
    told=$(printf '%b' "$3" | "$adapter" 2>&1 >/dev/null); code=$?
    out=$(printf '%b' "$3" | "$adapter" 2>/dev/null | head -c 1)
    expect "$1: exit" 1 "$code"
    expect "$1: lines" 1 "$(printf '%s\n' "$told" | wc -l)"
    expect "$1: nothing on the wire" "" "$out"
    case $told in *"$2"*) ;; *) echo "$1: message lacks '$2': $told"; bad=1 ;; esac
}
refuse garbage "expected a JSON value" 'nonsense\n'
refuse unknown "expected an enlisted instance" '{"Batch":{"ts":1}}\n{"Riddle":{"who":0}}\n'
refuse stranger "expected an enlisted instance" '{"Batch":{"ts":1}}\n{"ClientLeft":{"who":3,"ticket":1}}\n'
refuse missing "'ts' is missing" '{"Batch":{}}\n'
refuse mistyped "'ts' is not a number" '{"Batch":{"ts":"x"}}\n'
refuse cut "expected Go before the end of input" '{"Batch":{"ts":1}}\n'
refuse half "expected a line end before the end of input" '{"Batch"'
exit $bad
