#!/bin/sh
# Builds the driver of the cases and the project's program, whose stand-ins the cases start, into review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
(cd .. && go build -o review/bin/magnoliahoist .)
(cd driver && go build -o ../bin/driver .)
