#!/usr/bin/env bash
# Shows accepted jobs that never run after their queue got another service; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/14 ] && [ -x target/samphirepathd ] || exit 2
exec target/review-3/14 review/14
