#!/bin/bash
# Builds the stand-ins of the second review's cases, after the build of the deploy file. It needs no network: the stand-ins
# use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -buildvcs=false -o target/review-rig-2 ./review/_rig-2
