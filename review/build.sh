#!/bin/sh
# Builds the program that runs the cases with a script: the stand-ins and the checks.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/drill ./review/drill
