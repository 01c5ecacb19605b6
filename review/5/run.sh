#!/bin/bash
# Answers are broken off by a planned stop: requests sent over 3 s after the SIGTERM are taken and not finished.
# Exit codes: 0, the rule held; 1, it was broken; 2, the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
[ -x "$root/target/review-rig-2" ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec "$root/target/review-rig-2" slow-model "$root/target" "$PWD"
