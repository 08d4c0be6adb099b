#!/bin/sh
# Builds the stand-ins and the cases of the third review into target/review-3, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/standin-3/*.java $(ls review/1[1-5]/*.java)
