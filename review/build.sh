#!/bin/sh
# Compiles the stand-ins and the cases; needs the JDK alone.
cd "$(dirname "$0")" || exit 2
rm -rf build
mkdir build && javac -d build src/*.java
