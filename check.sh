#!/bin/sh
# Checks format, vet, the linter, both builds, how they are linked and what a clean machine needs for them, and tests.
#
# A test that is known to fail stands in KNOWN-RED.txt: test name, package, cause and issue, divided by tabs.
# Those tests are run apart and their outcome is told; all others must pass.
set -eu
cd "$(dirname "$0")"

max_policy_line=110 # characters
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
green_packages=$(printf '%s\n' "$all_packages" | grep -vxF -e "${red_packages:-none}")
# Tests that start real processes and measure their time go first, one package at a time: the simulated worlds of the
# deciders take all processors.
processes='^raventrestle/cmd/'
# shellcheck disable=SC2046 # lists of packages
go test -race -p 1 $(printf '%s\n' "$green_packages" | grep -E "$processes")
# shellcheck disable=SC2046
go test -race $(printf '%s\n' "$green_packages" | grep -vE "$processes")
for package in $red_packages; do
	skipped=$(printf '%s\n' "$red_list" | awk -F "$tab" -v p="$package" '$2 == p { print $1 }' | pattern)
	go test -race -skip "$skipped" "$package"
done
[ -z "$red_list" ] || printf '%s\n' "$red_list" | while IFS="$tab" read -r name package cause issue; do
	outcome=fails
	said=$(go test -race -v -count=1 -timeout "$known_red_time" -run "$(printf '%s\n' "$name" | pattern)" "$package" \
		2>&1 </dev/null) && outcome=passes
	printf '%s\n' "$said" | grep -q '^=== RUN' || outcome="does not run"
	echo "known red: $name of $package $outcome ($cause; $issue)"
done
