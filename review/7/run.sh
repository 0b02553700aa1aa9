#!/bin/sh
# A bad client repeats the id of a request that ends with an error. Exit status: 0 the rule held, 1 it was broken, 2 could not run.
folder=$(dirname "$0")
exec sh "$folder/../support-2/run-case.sh" "$folder"
