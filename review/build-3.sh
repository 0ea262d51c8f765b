#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run it after the build of the deploy file.
cd "$(dirname "$0")/standins-3" || exit 1
exec go build -o ../../target/review-3 .
