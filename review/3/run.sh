#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/3/record.txt PROGRAM="$PWD/target/flamingomast"
export RECORD PROGRAM
exec target/review/standin leave-queued
