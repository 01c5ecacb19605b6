#!/bin/sh
# Runs the linter (rules: .golangci.yml, version: tools/go.mod) and holds its findings against tools/lint-baseline.txt.
# usage: ./lint.sh [-lower]: -lower writes counts that have fallen to the baseline; it never raises one.
set -eu
cd "$(dirname "$0")"
report=$(mktemp)
trap 'rm -f "$report"' EXIT
go tool -modfile=tools/go.mod golangci-lint run --issues-exit-code=0 --output.json.path="$report" --output.text.path=/dev/null ./...
go test -C tools ./...
go run -C tools ./lintbaseline -report "$report" -baseline "$PWD/tools/lint-baseline.txt" "$@"
