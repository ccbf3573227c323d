#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The controllers are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
