#!/usr/bin/env bash
# Exits with 1 if accepted jobs were lost when their queue left the configuration, 0 if not, and 2
# if the case could not run. TROUBLE=0 changes the configuration without dropping the queue.
here="$(dirname "$(readlink -f "$0")")"
cd "$here/../.." || exit 2
timeout -k 5 115 java -Xmx96m -XX:+UseSerialGC -cp target/masticspread.jar:review/classes \
  DroppedRoute "$here/record.txt"
case $? in
  40) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
