#!/usr/bin/env bash
# Runs one case of the stand-ins and ends all that it started. usage: review/run.sh CASE FOLDER
set -u
folder=$2
cd "$(dirname "$0")/.." || exit 2
CASE_TEMPORARY=$(mktemp -d) || exit 2
export CASE_TEMPORARY
finish() {
    # Daemons end with the stand-in; what is left, should it have been ended itself, is ended by its id.
    while read -r pid; do
        if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/front/cyclamenrill-front" ]; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done < <(cat "$CASE_TEMPORARY/pids" 2>/dev/null)
    rm -rf "$CASE_TEMPORARY"
}
trap finish EXIT
timeout --kill-after=2 116 target/review/standin "$1" "$folder"
status=$?
if [ "$status" -gt 2 ]; then
    status=2
fi
exit "$status"
