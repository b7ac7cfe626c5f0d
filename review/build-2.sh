#!/bin/sh
# Builds, without a network, every stand-in that the scripts in review/4 and later folders
# start. The project's own programs are built by the build line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/rig && GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-rig .)
