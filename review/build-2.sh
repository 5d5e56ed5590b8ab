#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/. It needs
# no network. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS="-buildvcs=false" GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review2 .
