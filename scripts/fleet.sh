#!/usr/bin/env bash
# Runs a few dozen daemons and the stand-ins of a deployment on loopback, changes a setting, and
# prints what the daemons spent, as lines of `name value unit`. It ends all that it started.
# usage: scripts/fleet.sh [DAEMONS] [SECONDS]; needs `cargo build --release --bins`.
set -euo pipefail
cd "$(dirname "$0")/.."
daemons=${1:-24}
seconds=${2:-30}
base=21000
bin=${CARGO_TARGET_DIR:-target}/release
key=change-me-operators-key
if [ "$daemons" -gt 48 ] || [ "$seconds" -gt 300 ]; then
    echo "at most 48 daemons and 300 seconds" >&2
    exit 2
fi
zones=(tallinn-a tallinn-b tartu-a)
pids=()
logs=$(mktemp -d)
finish() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$logs"
}
trap finish EXIT
zone_of() { echo "${zones[$(($1 % 3))]}"; }

entries=()
for i in $(seq "$daemons"); do
    entries+=(--daemon "entry-$i,127.0.0.1:$((base + i)),$(zone_of "$i")")
done
"$bin/cyclamenrill-standin" fleet --listen "127.0.0.1:$base" --deployment poldmaa \
    "${entries[@]}" >"$logs/standin" 2>&1 &
pids+=($!)
sleep 1
for i in $(seq "$daemons"); do
    "$bin/cyclamenrilld" --config samples/poldmaa.toml \
        --set "daemon.name=entry-$i" \
        --set "daemon.availability-zone=$(zone_of "$i")" \
        --set "daemon.callers-address=127.0.0.1:$((base + 100 + i))" \
        --set "daemon.operators-address=127.0.0.1:$((base + 200 + i))" \
        --set "daemon.peers-address=127.0.0.1:$((base + i))" \
        --set "platform.log-url=http://127.0.0.1:$base/log" \
        --set "platform.roster-url=http://127.0.0.1:$base/roster" \
        --set "platform.weights-url=http://127.0.0.1:$base/weights" \
        >"$logs/entry-$i" 2>&1 &
    pids+=($!)
done
sleep 15

export CYCLAMENRILL_KEY=$key
operators() { "$bin/cyclamenrill" "$@" --address "127.0.0.1:$((base + 201))"; }
# Clock ticks of processor time that the threads of a process, or those of a name, have spent.
ticks() {
    local files="/proc/$1/stat"
    if [ -n "$2" ]; then
        files="/proc/$1/task/*/stat"
    fi
    # Threads come and go between the listing and the reading.
    # shellcheck disable=SC2086
    { cat $files 2>/dev/null || true; } | sed 's/^[0-9]* (\(.*\)) /\1 /' |
        awk -v name="$2" 'index($1, name) == 1 || name == "" { sum += $13 + $14 }
            END { printf "%d\n", sum }'
}
total() {
    local sum=0
    for pid in "${pids[@]:1}"; do
        sum=$((sum + $(ticks "$pid" "$1")))
    done
    echo "$sum"
}
# The sum of a counter over all daemons.
counter() {
    operators status --json 2>/dev/null | tr ',{}' '\n\n\n' |
        awk -v name="\"$1\"" '/"name":/ { found = index($0, name) }
            /"value":/ && found { split($0, part, ":"); sum += part[2]; found = 0 }
            END { printf "%d\n", sum }'
}

control=$(total control-)
all=$(total "")
sent=$(counter datagram-bytes-sent)
received=$(counter datagram-bytes-received)
count=$(counter datagrams-sent)
begun=$(date +%s.%N)
sleep "$seconds"
ended=$(date +%s.%N)
hertz=$(getconf CLK_TCK)
per() { awk -v a="$1" -v b="$2" -v s="$begun" -v e="$ended" -v n="$daemons" -v k="$3" \
    'BEGIN { printf "%.3f", (b - a) / (e - s) / n * k }'; }
control_after=$(total control-)
all_after=$(total "")
echo "daemons $daemons"
echo "control-processor $(per "$control" "$control_after" "$(awk "BEGIN { print 100 / $hertz }")") % of a core"
echo "daemon-processor $(per "$all" "$all_after" "$(awk "BEGIN { print 100 / $hertz }")") % of a core"
echo "datagram-bytes-sent $(per "$sent" "$(counter datagram-bytes-sent)" 1) bytes/s"
echo "datagram-bytes-received $(per "$received" "$(counter datagram-bytes-received)" 1) bytes/s"
echo "datagrams-sent $(per "$count" "$(counter datagrams-sent)" 1) 1/s"
for pid in "${pids[@]:1}"; do
    awk '/VmRSS/ { print $2 }' "/proc/$pid/status"
done | sort -n | awk '{ sum += $1; last = $1 } END { printf "resident-mean %.0f kB\nresident-most %d kB\n", sum / NR, last }'
begun=$(date +%s.%N)
"$bin/cyclamenrill" config --address "127.0.0.1:$((base + 201))" set queue-bound 900 \
    --reason "a trial of the fleet" --wait
ended=$(date +%s.%N)
awk -v s="$begun" -v e="$ended" 'BEGIN { printf "edit-to-known-everywhere %.2f s\n", e - s }'
