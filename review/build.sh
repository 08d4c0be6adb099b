#!/bin/sh
# Builds the stand-ins and the cases into target/review.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review review/harness/*.java
