#!/usr/bin/env bash
# Shows workers that get no tasks for up to two minutes after a short cut; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/14 ] && [ -x target/samphirepathd ] || exit 2
exec target/review-3/14 review/14
