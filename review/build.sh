#!/bin/sh
# Builds the program that the scripts of this review start: its own stand-ins for clients, endpoints and the operator, with
# the standard library alone. The programs of the system come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/rig"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -trimpath -buildvcs=false -o ../bin/rig .
