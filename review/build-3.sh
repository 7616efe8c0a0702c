#!/usr/bin/env bash
# Builds the stand-ins and the clients that the scripts of the third review start, as target/rig3.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
