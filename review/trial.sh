# Plays one trial; sourced by review/*/run.sh, which sets $folder to its own folder.
root=$(cd "$folder/../.." && pwd)
trial="$root/target/review-2/trial-$(basename "$folder")"
if [ ! -x "$trial" ] || [ ! -x "$root/target/release/pewterwharf-mixer" ]; then
    echo "could not run: the build of the deploy file and review/build-2.sh come first"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
status=0
TRIAL_ROOT="$root" TRIAL_FOLDER="$folder" TRIAL_TMP="$temporary" "$trial" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT
wait "$pid" || status=$?
# A signal ends the first wait; the trial then ends its mixers and itself.
while kill -0 "$pid" 2>/dev/null; do
    status=0
    wait "$pid" || status=$?
done
[ "$status" -le 2 ] || status=2
exit "$status"
