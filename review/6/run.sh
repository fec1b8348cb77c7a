#!/bin/sh
# Case 6. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT TROUBLE="${TROUBLE:-1}"
program="$ROOT/target/review-2/case-6"
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/badgerramp" ]; then
    echo "CANNOT RUN: build the deploy file's programs and run review/build-2.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
timeout -s KILL 115 "$program" "$here" "$temporary" &
case_pid=$!
finish() {
    # The file is there only if the program was ended before it could end its client proxies.
    if [ -f "$temporary/processes" ]; then
        while read -r process; do kill -KILL "$process" 2>/dev/null; done < "$temporary/processes"
    fi
    rm -rf "$temporary"
}
trap 'kill -TERM "$case_pid" 2>/dev/null; sleep 1; finish; exit 2' INT TERM HUP
wait "$case_pid"
status=$?
finish
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
