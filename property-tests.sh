#!/bin/sh
# Plays the property tests (those that draw their cases with rapid) with fresh seeds, round after round:
#
#	./property-tests.sh [-time 10m] [-seed N] [-run PATTERN] [PACKAGE...]
#
# Without packages it plays all that have such tests. Each round draws one seed and prints it first; the round under way
# when the time is up is played to its end. A failure prints the command that plays it again, and the rounds go on;
# the exit code is then 1. With -seed the one round of that seed is played. check.sh always plays the same seed.
set -eu
cd "$(dirname "$0")"

usage() {
	sed -n 's/^#	//p' "$0" >&2
	exit 2
}

seconds=600 seed='' run=.
while [ $# -gt 0 ]; do
	case $1 in
	-time)
		[ $# -ge 2 ] || usage
		case $2 in
		*h) seconds=$((${2%h} * 3600)) ;;
		*m) seconds=$((${2%m} * 60)) ;;
		*s) seconds=${2%s} ;;
		*) usage ;;
		esac
		shift
		;;
	-seed)
		[ $# -ge 2 ] || usage
		seed=$2
		shift
		;;
	-run)
		[ $# -ge 2 ] || usage
		run=$2
		shift
		;;
	-*) usage ;;
	*) break ;;
	esac
	shift
done

[ $# -gt 0 ] || set -- ./...
packages=$(go list -test -f '{{range .Deps}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' "$@" |
	sed -n 's/\.test$//p' | sort -u)
[ -n "$packages" ] || { echo "no property tests in $*" >&2; exit 2; }

# draw_seed prints a seed above 0, which would mean a seed that rapid draws and prints only on failure.
draw_seed() {
	od -An -N7 -tu8 /dev/urandom | awk '{ print $1 + 0 == 0 ? 1 : $1 }'
}

output=$(mktemp)
trap 'rm -f "$output"' EXIT
end=$(($(date +%s) + seconds))
rounds=0 failed=0
while :; do
	rounds=$((rounds + 1))
	now=${seed:-$(draw_seed)}
	echo "round $rounds: seed $now"
	# shellcheck disable=SC2086 # a list of packages
	if ! go test -p 2 -count=1 -timeout 30m -run "$run" $packages -rapid.nofailfile -rapid.seed="$now" >"$output" 2>&1; then
		failed=$((failed + 1))
		grep -v '^ok' "$output"
		echo "round $rounds failed; again: ./property-tests.sh -seed $now -run '$run' PACKAGE"
	fi
	[ -z "$seed" ] && [ "$(date +%s)" -lt "$end" ] || break
done
echo "$rounds rounds, $failed with a failure"
[ "$failed" -eq 0 ]
