#!/bin/sh
# Builds the stand-ins of the second review, review/6 to review/10, into build-review-2/. Run it after the build of the deploy
# file. It needs a C++20 compiler and nothing else.
cd "$(dirname "$0")/.." || exit 2
mkdir -p build-review-2 || exit 2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    echo "building case $number"
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$number" "$source" || exit 2
done
