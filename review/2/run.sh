#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the batch jobs have 60 KiB instead of 16 MiB. Twelve steps.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx700m -cp target/review LargeJob review/2 16 12
