#!/bin/bash
# Builds the stand-ins and clients of the cases 6 to 10 with the JDK alone. The gateway is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/src-2"
rm -rf target
mkdir target
exec javac -encoding UTF-8 --release 17 -Xlint:all -d target ./*.java
