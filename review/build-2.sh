#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/, where the build
# line of the deploy file puts the daemon. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./review/harness-2
