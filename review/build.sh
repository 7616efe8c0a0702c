#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts: the executors, clients and the judge in
# review/rig, with the project's own stand-in of the store. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
go build -o target/review-rig ./review/rig 2>"$log" || { cat "$log" >&2; exit 1; }
