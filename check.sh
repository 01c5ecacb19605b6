#!/bin/sh
# Checks format, vet, build, tests and the size of the decision module.
set -eu
cd "$(dirname "$0")"
bad=$(gofmt -l .)
[ -z "$bad" ] || { echo "not formatted: $bad"; exit 1; }
go vet ./...
go build ./...
go test -race ./...
awk 'NF { n++ } length($0) > 110 { print FILENAME ":" FNR ": over 110 characters"; bad = 1 }
	END { print "policy.go: " n " non-blank lines"; if (n > 1010) { print "over 1010"; bad = 1 } exit bad }' policy.go
