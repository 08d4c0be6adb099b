#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the store serves all machines all the time.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review StaleRoute review/4
