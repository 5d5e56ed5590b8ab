#!/usr/bin/env bash
# Runs the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. With TROUBLE=0 it runs without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$folder/../.." && pwd)"
exec "$repository/target/review2" unanswered_status "$folder" "$repository"
