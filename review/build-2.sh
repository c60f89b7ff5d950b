#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the build of the deploy file for the cases themselves.
set -eu
cd "$(dirname "$0")/harness-2"
rm -rf target
mkdir -p target/classes
javac -d target/classes src/*.java
