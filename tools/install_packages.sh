#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any is missing.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done < packages.txt
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
  --no-install-recommends "${missing[@]}"
