#!/usr/bin/env bash
# Builds the programs of the scripts of the third review into target/review-3. The stand-ins for the
# store, the workers and the callers are part of them (review/kit-3, which uses
# internal/standinfleet).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5] review/found-3/other-service; do
  if [ -f "$folder/main.go" ]; then
    go build -o "target/review-3/${folder##*/}" "./$folder"
  fi
done
