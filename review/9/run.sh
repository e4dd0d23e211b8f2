#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-2
if [ ! -x "$program" ] || [ ! -x target/release/cowslipcross ]; then
    echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
exec "$program" restart "$PWD" "$PWD/review/9"
