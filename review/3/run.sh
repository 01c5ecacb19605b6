#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the change of the configuration.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec review/bin/rig raised . review/3/record.txt
