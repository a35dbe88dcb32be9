#!/bin/sh
# Builds the stand-ins of the scripts. It needs only the standard library, and runs after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
GOWORK=off go build -o target/review/harness review/harness/*.go
