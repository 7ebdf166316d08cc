#!/bin/sh
# Builds the stand-ins of the scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/field ./review/.standins/field
