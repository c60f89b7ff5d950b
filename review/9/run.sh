#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
exec sh "$here/../harness-2/run-case.sh" RetriedUpload "$here"
