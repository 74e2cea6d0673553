#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Case 6: an engine sends bytes that are not an answer, without an end. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. TROUBLE=0 leaves out the disturbance.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/target/rockbarrow" ] && [ -x "$root/target/review-kit2" ] || { echo "not built"; exit 2; }
exec "$root/target/review-kit2" endless "$root" "$folder"
