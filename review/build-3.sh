#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15 into target/review-3. The stand-ins
# for the store, the workers and the callers are part of them (review/kit-3, which uses
# internal/standinfleet).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5]; do
  if [ -f "$folder/main.go" ]; then
    go build -o "target/review-3/${folder#review/}" "./$folder"
  fi
done
