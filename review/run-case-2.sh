#!/bin/sh
# Runs the driver $2 of a case in the folder $1: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file, and review/build-2.sh.
case_folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
driver=$root/target/review-2/release/$2
[ -x "$driver" ] || { echo "the case could not run: no $driver, run review/build-2.sh first"; exit 2; }
[ -x "$root/target/release/linnethook" ] || { echo "the case could not run: the program is not built"; exit 2; }
tmp=$(mktemp -d) || exit 2
: > "$tmp/pids"
finish() {
    while read -r pid; do kill -9 "$pid" 2> /dev/null; done < "$tmp/pids"
    rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
REVIEW_ROOT=$root REVIEW_CASE=$case_folder REVIEW_TMP=$tmp "$driver" &
echo $! >> "$tmp/pids"
wait $!
code=$?
[ -n "$KEEP_LOGS" ] && cp "$tmp"/*.log "$KEEP_LOGS"/ 2> /dev/null
[ "$code" -le 1 ] || code=2
exit "$code"
