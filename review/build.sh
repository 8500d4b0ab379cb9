#!/bin/sh
# Builds the stand-ins of all cases into review/out; needs a JDK only.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -nowarn -d out standins/*.java
