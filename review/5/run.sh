#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the bodies have 4 KiB instead of 4 MiB.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx700m -cp target/review LargeBodies review/5 4096 23
