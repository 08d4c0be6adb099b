#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -d target/review-2 ] || exit 2
exec java -Xmx512m -cp "target/review-2:target/lib/jackson-core.jar:target/lib/jackson-databind.jar:target/lib/jackson-annotations.jar" Case10 "$here"
