#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs Go and the modules of go.mod only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./review/_standin
