#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd) || exit 2
CASE_TEMP=$(mktemp -d) || exit 2
export CASE_FOLDER CASE_TEMP
program=$CASE_FOLDER/../bin/case1
# However it ends, no process and no temporary file is left.
leave() {
    [ -z "$child" ] || kill -KILL "$child" 2> /dev/null
    [ ! -f "$CASE_TEMP/pids" ] || while read -r pid; do kill -KILL "$pid" 2> /dev/null; done < "$CASE_TEMP/pids"
    rm -rf "$CASE_TEMP"
}
child=
trap leave EXIT
trap 'exit 2' HUP INT TERM
[ -x "$program" ] || { echo "could not run: review/build.sh comes first"; exit 2; }
"$program" &
child=$!
wait "$child"
status=$?
child=
[ "$status" -le 1 ] || status=2
exit "$status"
