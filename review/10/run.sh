#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
. bin/find-jdk
find_jdk || exit 2
[ -f target/review-2/NewWeights.class ] || exit 2
"$JAVA_HOME/bin/java" -Xmx256m -cp target/review-2 NewWeights "$folder"
