#!/bin/bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand ] && [ -x target/release/carobsill-node ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-2/stand slow-then-alone . "$folder" "review/6/record.txt"
