#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-kit2 review/kit2/*.go
