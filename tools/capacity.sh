#!/usr/bin/env bash
# Runs bench-capacity and replaces the table between the markers "slopes begin"
# and "slopes end" of docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
rows=$(mktemp)
trap 'rm -f "$rows"' EXIT
"$build/bench-capacity" | tee "$rows"
awk -v rows="$rows" '
  /<!-- slopes begin -->/ { print; print "";
    print "| measure | size | unit | points (size → value) | per unit | at zero | bend |";
    print "| --- | --- | --- | --- | --- | --- | --- |";
    while ((getline line < rows) > 0) print line;
    print ""; skip = 1 }
  /<!-- slopes end -->/ { skip = 0 }
  !skip { print }
' docs/CAPACITY.md > "$rows.page"
mv "$rows.page" docs/CAPACITY.md
