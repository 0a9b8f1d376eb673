#!/bin/sh
# Builds the stand-ins of the cases. It needs no network: the module has no dependencies.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS= GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/rig .
