#!/bin/sh
# Builds the stand-ins of the cases from 6 on into target/review/. The daemons come from the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/cases2 ./review/cases2
