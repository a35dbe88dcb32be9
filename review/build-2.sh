#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the router: review/rig2, which has
# the stand-ins for the platform, its store, engines and clients. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../target/review-rig-2 .
