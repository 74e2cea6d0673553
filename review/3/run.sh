#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rockbarrow ] && [ -x target/review/harness ] || { echo "build target/rockbarrow and run review/build.sh first"; exit 2; }
exec target/review/harness 3 review/3
