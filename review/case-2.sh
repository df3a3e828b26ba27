#!/bin/bash
# Runs one case: case-2.sh FOLDER CLASS TROUBLE, 0 for none. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../target/reedquay.jar ] || [ ! -f "src-2/target/$2.class" ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
root=$(cd .. && pwd) || exit 2
temp=$(mktemp -d) || exit 2
java -Xmx768m -cp src-2/target -Droot="$root" -Dtemp="$temp" -Drecord="$root/review/$1/record.txt" \
    -Dtrouble="$3" "$2" &
case=$!
trap 'kill $case 2>/dev/null; wait $case; rm -rf "$temp"; exit 2' INT TERM HUP
wait $case
status=$?
rm -rf "$temp"
[ $status -le 1 ] && exit $status
exit 2
