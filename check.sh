#!/bin/sh
# Checks format, vet, build, tests and the size of the decision module.
set -eu
cd "$(dirname "$0")"
bad=$(gofmt -l .)
[ -z "$bad" ] || { echo "not formatted: $bad"; exit 1; }
go vet ./...
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)" # as the deployment builds
for need in 'program interpreter' 'NEEDED.*libc\.so'; do # the deployment loads a library of its own into the courier
	readelf -Wld bin/raventrestle | grep -q "$need" || { echo "bin/raventrestle has no $need: not linked against the C library"; exit 1; }
done
go test -race ./...
awk 'NF { n++ } length($0) > 110 { print FILENAME ":" FNR ": over 110 characters"; bad = 1 }
	END { print "policy.go: " n " non-blank lines"; if (n > 1010) { print "over 1010"; bad = 1 } exit bad }' policy.go
