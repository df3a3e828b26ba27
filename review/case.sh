# Runs one case: case.sh FOLDER CLASS TROUBLE, 0 for none.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
if [ ! -f "$root/target/reedquay.jar" ] || [ ! -f "$root/review/build/$2.class" ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build.sh"
    exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'kill $child 2>/dev/null; wait $child 2>/dev/null; rm -rf "$temp"; exit 2' INT TERM HUP
java -Xmx768m -Dreview.root="$root" -Dreview.temp="$temp" -Dreview.record="$folder/record.txt" \
    -Dreview.trouble="$3" \
    -cp "$root/review/build" "$2" &
child=$!
wait $child
status=$?
rm -rf "$temp"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
