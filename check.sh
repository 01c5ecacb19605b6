#!/bin/sh
# Checks format, vet, the linter, both builds, how they are linked and what a clean machine needs for them, and tests.
#
# A test that is known to fail stands in KNOWN-RED.txt: test name, package, cause and issue, divided by tabs.
# Those tests are run apart and their outcome is told; all others must pass.
set -eu
cd "$(dirname "$0")"

max_policy_line=110 # characters
rapid_seed=1 # of the property tests' cases: the same ones each time; property-tests.sh draws others
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

# reds prints the lines of the known failures, with the package in full.
reds() {
	[ -f "$known_red" ] || return 0
	while IFS="$tab" read -r name package cause issue; do
		case $name in '' | '#'*) continue ;; esac
		printf '%s\t%s\t%s\t%s\n' "$name" "$(go list "$package")" "$cause" "$issue"
	done <"$known_red"
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

# seed_flag prints the flag that fixes the cases of a package's property tests, nothing where it has none.
seed_flag() {
	! printf '%s\n' "$rapid_packages" | grep -qxF -e "$1" || printf '%s\n' "-rapid.seed=$rapid_seed"
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
	deploy/clean-build-check
fi

files=$(policy_files)
[ -n "$files" ] || { echo "deploy/balancer.toml names no policy files"; exit 1; }
# shellcheck disable=SC2086 # file names of this repository have no spaces
awk -v max="$max_policy_line" 'length($0) > max { print FILENAME ":" FNR ": over " max " characters"; bad = 1 }
	END { exit bad }' $files

red_list=$(reds)
red_packages=$(printf '%s\n' "$red_list" | cut -f2 | sort -u)
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
	skipped=$(printf '%s\n' "$red_list" | awk -F "$tab" -v p="$package" '$2 == p { print $1 }' | pattern)
	play_tests "$package" -race -skip "$skipped"
done
[ -z "$red_list" ] || printf '%s\n' "$red_list" | while IFS="$tab" read -r name package cause issue; do
	outcome=fails
	# shellcheck disable=SC2046 # one flag or none
	said=$(go test -race -v -count=1 -timeout "$known_red_time" -run "$(printf '%s\n' "$name" | pattern)" "$package" \
		$(seed_flag "$package") 2>&1 </dev/null) && outcome=passes
	printf '%s\n' "$said" | grep -q '^=== RUN' || outcome="does not run"
	echo "known red: $name of $package $outcome ($cause; $issue)"
done
