#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Makes the committed code from the .proto files. Needs protoc,
# protoc-gen-go v1.36.12 and protoc-gen-go-grpc v1.6.2.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=module=rockbarrow.dev/schema \
  --go-grpc_out=. --go-grpc_opt=module=rockbarrow.dev/schema \
  config.proto record.proto peer.proto operator.proto fleet.proto
