#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/kumquatsill ] && [ -x ../../target/review/harness ] || exit 2
exec ../../target/review/harness harmful ../../target/kumquatsill
