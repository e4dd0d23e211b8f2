#!/usr/bin/env bash
# Runs a case of the harness: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. Ends all processes of the case, which are in a process group of their own, after 115 s at most.
set -um
cd "$(dirname "$0")/.."
harness=target/review/release/review-harness
if [[ ! -x $harness || ! -x target/release/cowslipcross ]]; then
    echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
"$harness" "$1" "$2/record.txt" &
job=$!
trap 'kill -KILL -- -$job 2>/dev/null' EXIT
(sleep 115 && kill -KILL -- -"$job" 2>/dev/null) &
watchdog=$!
wait "$job"
code=$?
kill -KILL -- -"$watchdog" 2>/dev/null
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
