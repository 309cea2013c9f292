#!/usr/bin/env bash
# Exits with 1 if a task ran twice at the same time or again after its success, 0 if not, and 2 if
# the case could not run. TROUBLE=0 does the same without cutting anything off.
here="$(dirname "$(readlink -f "$0")")"
cd "$here/../.." || exit 2
timeout -k 5 115 java -Xmx96m -XX:+UseSerialGC -cp target/masticspread.jar:review/classes \
  TwoLeaders "$here/record.txt"
case $? in
  40) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
