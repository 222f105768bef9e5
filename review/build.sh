#!/bin/sh
# Builds the stand-ins of the cases into review/build. Needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -Xlint:all -d build support/*.java
