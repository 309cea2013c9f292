#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into review/classes.
# Needs target/masticspread.jar, from the build line of deploy/system.toml, for its JSON library.
set -eu
cd "$(dirname "$(readlink -f "$0")")/.."
rm -rf review/classes
mkdir -p review/classes
javac -nowarn -d review/classes -cp target/masticspread.jar review/standin/*.java
echo "review: stand-ins built"
