#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2. Needs the build of
# the deploy file, whose libraries it uses.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
path=target/lib/jackson-core.jar:target/lib/jackson-databind.jar:target/lib/jackson-annotations.jar
files=$(ls review/standin-2/*.java)
for n in 6 7 8 9 10; do
    for file in review/$n/*.java; do
        if [ -f "$file" ]; then files="$files $file"; fi
    done
done
javac -nowarn -d target/review-2 -cp "$path" $files
