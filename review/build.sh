#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -Xlint:all -Werror -d target/classes standins/*.java
