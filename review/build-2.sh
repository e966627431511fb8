#!/bin/sh
# Builds the stand-ins of the second review: the project's own store, engines, callers and relays,
# in one program. The program under test is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/stand-2
