#!/bin/sh
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
harness="$root/target/review/release/review-harness"
if [ ! -x "$harness" ] || [ ! -x "$root/target/release/pulleywood" ]; then
    echo "run the build of the deploy file and review/build.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
pid=
# Ends what is left of the case if it is interrupted, and removes its folder.
finish() {
    status=$?
    if [ -n "$pid" ]; then
        kill -9 "$pid" 2>/dev/null
        [ -f "$folder/pids" ] && kill -9 $(cat "$folder/pids") 2>/dev/null
    fi
    rm -rf "$folder"
    exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
"$harness" array "$root" "$folder" "$here/record.txt" &
pid=$!
wait "$pid"
status=$?
case $status in
0 | 1) pid= ;;
*) status=2; tail -n 3 "$folder"/*.log 2>/dev/null ;;
esac
exit "$status"
