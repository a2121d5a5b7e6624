#!/usr/bin/env bash
# Shows a job that waits beside idle minions because another service is busy; see found.txt.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review-3/other-service ] && [ -x target/samphirepathd ] || exit 2
exec target/review-3/other-service review/found-3/other-service
