#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the router: one program with the
# stand-ins of the store and the engines, the clients and the proxies. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig3"
GOWORK=off GOFLAGS= GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/rig3 .
