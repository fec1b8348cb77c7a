#!/bin/sh
# Runs this case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RECORD="$here/record.txt"
WORK=$(mktemp -d) || exit 2
export ROOT RECORD WORK TROUBLE="${TROUBLE:-1}"
program="$ROOT/target/review/case-$(basename "$here")"
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/badgerramp" ]; then
    echo "build first: cargo build --release, then review/build.sh" >&2
    rm -rf "$WORK"
    exit 2
fi
timeout -s KILL 117 "$program" &
pid=$!
# The stand-ins end their client proxies and remove their pid files; this ends what is left if they were ended first.
finish() {
    for file in "$WORK"/*.pid; do [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null; done
    rm -rf "$WORK"
}
trap 'kill -9 "$(cat "$WORK/case.pid" 2>/dev/null)" 2>/dev/null; finish; exit 2' INT TERM HUP
wait "$pid"
status=$?
finish
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
