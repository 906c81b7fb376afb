#!/bin/bash
# Builds the stand-ins of the cases. The product is built by the command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
export PATH="$PATH:/usr/local/go/bin"
go build -tags review -o bin/ ./standin
