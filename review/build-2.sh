#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/programs ./review/_programs
