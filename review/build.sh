#!/usr/bin/env bash
# Compiles the stand-ins and checks of the review with the JDK of the build; needs no library.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/find-jdk
find_jdk
rm -rf review/target
mkdir -p review/target
"$JAVA_HOME/bin/javac" -nowarn -d review/target review/rig/*.java
