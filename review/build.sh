#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Builds the stand-ins of the review's scripts. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness review/harness/*.go
