#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for case in review/harness-3/case_*.cpp; do
    name=$(basename "$case" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -I. "$case" review/harness-3/site.cpp \
        -pthread -o "target/review-3/$name" &
done
for job in $(jobs -p); do
    wait "$job"
done
