#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start. Run it behind the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/ ./review/cases2
