#!/bin/bash
# The core never recovers after disk losses that never overlap.
# Exit codes: 0, the rule held; 1, it was broken; 2, the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
[ -x "$root/target/review-rig-2" ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec "$root/target/review-rig-2" flapping-machine "$root/target" "$PWD"
