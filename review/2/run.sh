#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-cases ] && [ -x target/release/beechsaddle ] || exit 2
exec target/review/release/review-cases tunnel-kill review/2
