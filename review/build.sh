#!/bin/sh
# Builds the stand-ins that the cases start. The deploy file's build makes bin/lichenpick.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/testdata/standin
