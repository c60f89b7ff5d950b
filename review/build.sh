#!/usr/bin/env bash
# Compiles the stand-ins of all cases. Needs Java 17 only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac -d target harness/*.java
