#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10, after the build of the deploy file. Needs the JDK and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/support-2/review2/*.java
