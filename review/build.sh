#!/bin/sh
# Builds the stand-ins of the cases. It needs the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -C review/standin -o ../../target/review/standin .
