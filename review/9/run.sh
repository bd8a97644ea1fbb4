#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
exec timeout 110 target/review-2/review-case-9 "$folder"
