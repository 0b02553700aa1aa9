#!/bin/sh
# A node is told to end while a host hangs in the middle of a line. Exit status: 0 the rule held, 1 it was broken, 2 could not run.
folder=$(dirname "$0")
exec sh "$folder/../support-2/run-case.sh" "$folder"
