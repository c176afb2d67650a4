#!/bin/bash
# Builds the stand-ins of the cases into review/build. Needs gcc only.
set -e
cd "$(dirname "$0")"
mkdir -p build
gcc -O2 -g -std=gnu11 -Wall -Wextra -o build/bed standins/*.c
