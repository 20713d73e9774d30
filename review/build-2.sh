#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/standin-2
