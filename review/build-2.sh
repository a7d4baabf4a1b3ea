#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
. bin/find-jdk
find_jdk
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/rig-2/*.java
