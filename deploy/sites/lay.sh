#!/bin/sh
# Lays what the bench wants beside a site file into this folder: sh deploy/sites/lay.sh FOLDER, where FOLDER is one of the
# kit's with a site file in it. Git ignores the copies, as files of the kit are not committed.
set -eu
from=${1:?"usage: sh deploy/sites/lay.sh FOLDER-OF-A-SITE"}
for file in real.json wire.json unlock.txt; do
	cp "$from/$file" "$(dirname "$0")/$file"
	chmod u+w "$(dirname "$0")/$file"
done
