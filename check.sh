#!/bin/sh
# Checks format, vet, the linter, both builds, how they are linked and what a clean machine needs for them, plays a short soak
# with real processes, and runs the tests.
#
# A test that is known to fail is listed in KNOWN-RED.txt, one line each, fields divided by tabs: test name, the command
# that shows the failure (with its seed), what was seen, issue. The command is a go test, or a script with its arguments that
# fails by its exit code; a script that is not there, as it must be built first, is told as such.
# These commands run separately and their outcome is printed; all other tests must pass. A test whose command draws its
# cases by another seed than this script's must pass with this script's.
set -eu
cd "$(dirname "$0")"

max_policy_line=110 # characters
rapid_seed=1 # of the property tests' cases: the same ones each time; property-tests.sh draws others
soak_seeds='1 2 3' # of the soak with real processes: one for each kind of faults
known_red=KNOWN-RED.txt
known_red_time=120s    # a known failure may be one that hangs

# build_line prints the build command of a deploy file.
build_line() {
	sed -n 's/^build = "\(.*\)"$/\1/p' "$1"
}

# need_c_library fails unless the program is linked against the C library: the deployment loads a library of its
# own into it.
need_c_library() {
	for need in 'program interpreter' 'NEEDED.*libc\.so'; do
		readelf -Wld "$1" | grep -q "$need" || { echo "$1 has no $need: not linked against the C library"; exit 1; }
	done
}

# policy_files prints the files of the decision module; an entry of the deploy file may be a folder.
policy_files() {
	awk '/^policy *=/ { on = 1 } on { while (match($0, /"[^"]*"/)) {
		print substr($0, RSTART + 1, RLENGTH - 2); $0 = substr($0, RSTART + RLENGTH) } } on && /\]/ { exit }' \
		deploy/balancer.toml | while read -r entry; do
		[ -e "$entry" ] || { echo "deploy/balancer.toml: no $entry" >&2; exit 1; }
		find "$entry" -name '*.go' ! -name '*_test.go'
	done
}

# reds prints the known failures: test name, import path of its package ("script" for a script), command, what was seen, issue.
reds() {
	[ -f "$known_red" ] || return 0
	while IFS="$tab" read -r name command seen issue; do
		case $name in '' | '#'*) continue ;; esac
		folder=$(printf '%s\n' "$command" | tr ' ' '\n' | grep -m 1 '^\./' || :)
		[ -n "$folder" ] && [ -n "$issue" ] ||
			{ echo "$known_red: $name: want test, command with ./FOLDER or ./SCRIPT, what was seen and issue, divided by tabs" >&2; exit 1; }
		package=script
		[ "$folder" = "${command%% *}" ] || package=$(go list "$folder")
		printf '%s\t%s\t%s\t%s\t%s\n' "$name" "$package" "$command" "$seen" "$issue"
	done <"$known_red"
}

# skipped_tests prints the known failures of a package that the regular run leaves out: all but those whose command has
# another seed.
skipped_tests() {
	printf '%s\n' "$red_list" | awk -F "$tab" -v package="$1" -v seed="-rapid.seed=$rapid_seed" '
		$2 == package && ($3 !~ /-rapid\.seed=/ || index($3 " ", seed " ")) { print $1 }'
}

# pattern makes the argument of -run or -skip for test names, one a line; a name may be that of a part of a test.
pattern() {
	sed 's/[][().*+?|{}$^\\]/\\&/g; s:/:$/^:g; s/^/^/; s/$/$/' | paste -sd '|' -
}

# rapid_packages prints the packages whose tests have rapid linked in, by themselves or by what they import.
rapid_packages() {
	go list -test -f '{{range .Deps}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./... |
		sed -n 's/\.test$//p' | sort -u
}

# play_tests plays the packages, one a line, with the flags of go test. Packages with property tests come last, with the
# fixed seed: they would draw other cases at each run.
play_tests() {
	packages=$1
	shift
	plain=$(printf '%s\n' "$packages" | grep -vxF -e "$rapid_packages" || :)
	drawn=$(printf '%s\n' "$packages" | grep -xF -e "$rapid_packages" || :)
	# shellcheck disable=SC2086 # lists of packages
	[ -z "$plain" ] || go test "$@" $plain
	# shellcheck disable=SC2086
	[ -z "$drawn" ] || go test "$@" $drawn -rapid.nofailfile -rapid.seed="$rapid_seed"
}

# Recorded decisions are compared bit by bit, so that tests run without the fused multiplication that other compilers use.
[ "$(go env GOARCH)" = amd64 ] || export GOFLAGS="$(go env GOFLAGS) -gcflags=all=-d=fmahash=qn"

# test_outcome runs the go test command of a known failure and prints what came of it.
test_outcome() {
	outcome=fails
	output=$(GOFLAGS="${GOFLAGS:-} -v -count=1 -timeout=$known_red_time" sh -c "$1" 2>&1 </dev/null) && outcome=passes
	printf '%s\n' "$output" | grep -q '^=== RUN' || outcome="does not run"
	echo "$outcome"
}

# script_outcome runs the script of a known failure and prints what came of it.
script_outcome() {
	script=${1%% *}
	[ -x "$script" ] || { echo "does not run, as there is no $script"; return; }
	if timeout "$known_red_time" sh -c "$1" >/dev/null 2>&1 </dev/null; then echo passes; else echo "fails with exit code $?"; fi
}

tab=$(printf '\t')
bad=$(gofmt -l .)
[ -z "$bad" ] || { echo "not formatted: $bad"; exit 1; }
go vet ./...
./lint.sh

sh -c "$(build_line deploy/balancer.toml)"
need_c_library bin/raventrestle
if [ -d cmd/raventrestle-router ] && [ -d cmd/raventrestle-control ]; then
	sh -c "$(build_line deploy/system.toml)"
	need_c_library target/raventrestle-router
	need_c_library target/raventrestle-control
	bin/raventrestle-control check -deploy deploy/system.toml
	bin/raventrestle-lab system --once
	for seed in $soak_seeds; do
		bin/raventrestle-lab soak --seed "$seed" --for 12s
	done
	deploy/clean-build-check
fi

files=$(policy_files)
[ -n "$files" ] || { echo "deploy/balancer.toml names no policy files"; exit 1; }
# shellcheck disable=SC2086 # file names of this repository have no spaces
awk -v max="$max_policy_line" 'length($0) > max { print FILENAME ":" FNR ": over " max " characters"; bad = 1 }
	END { exit bad }' $files

red_list=$(reds)
red_packages=$(printf '%s\n' "$red_list" | cut -f2 | grep -vx script | sort -u || :)
all_packages=$(go list ./...)
rapid_packages=$(rapid_packages)
[ -n "$rapid_packages" ] || { echo "no package has property tests by rapid: rapid_packages finds none"; exit 1; }
green_packages=$(printf '%s\n' "$all_packages" | grep -vxF -e "${red_packages:-none}")
# Tests that start real processes and measure their time go first, one package at a time: the simulated worlds of the
# deciders take all processors.
processes='^raventrestle/cmd/'
play_tests "$(printf '%s\n' "$green_packages" | grep -E "$processes")" -race -p 1
play_tests "$(printf '%s\n' "$green_packages" | grep -vE "$processes")" -race
for package in $red_packages; do
	play_tests "$package" -race -skip "$(skipped_tests "$package" | pattern)"
done
[ -z "$red_list" ] || printf '%s\n' "$red_list" | while IFS="$tab" read -r name package command seen issue; do
	if [ "$package" = script ]; then
		outcome=$(script_outcome "$command")
	else
		outcome=$(test_outcome "$command")
	fi
	echo "known red: $name of $package $outcome ($seen; $issue)"
done
