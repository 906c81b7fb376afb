#!/bin/bash
# Builds the stand-ins of this review's cases into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/standin-2/...
