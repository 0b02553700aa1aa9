#!/bin/sh
# Builds the tests of this folder, with the stand-ins that they contain, into build/review. Needs only g++.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[123]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case$number" "$source"
done
