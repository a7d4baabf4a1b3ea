#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
. bin/find-jdk && find_jdk || exit 2
exec "$JAVA_HOME/bin/java" -Xmx512m -cp review/target SlowLink review/3
