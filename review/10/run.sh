#!/usr/bin/env bash
# Case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
ROOT="$(cd "$here/../.." && pwd)"
export ROOT
program="$ROOT/target/review-2/case-10"
if [ ! -x "$program" ]; then
    echo "CANNOT RUN: build the deploy file's programs and run review/build-2.sh first"
    exit 2
fi
temporary="$(mktemp -d)"
end() {
    # What the program could not end itself.
    if [ -f "$temporary/processes" ]; then
        while read -r process; do kill -KILL "$process" 2>/dev/null; done < "$temporary/processes"
    fi
    rm -rf "$temporary"
}
trap end EXIT
"$program" "$here" "$temporary"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
