#!/bin/sh
# Runs a case: run-case.sh CLASS FOLDER. Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(cd "$2" && pwd)"
if [ ! -f "$here/target/classes/$1.class" ] || [ ! -f "$root/node/target/tansypass-node.jar" ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
exec java -Xmx512m -Droot="$root" -cp "$here/target/classes" "$1" "$folder"
