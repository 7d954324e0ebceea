#!/usr/bin/env bash
# Builds the program that plays the scripted cases with its stand-ins. The deploy file builds the entry instance.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/scenario ./review/scenario
