#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
work=$(mktemp -d) || exit 2
timeout -k 5 110 java -XX:-UsePerfData -Xss512k -cp "$root/review/out" KilledInstance "$root" "$here/record.txt" "$work"
code=$?
rm -rf "$work"
# Any other code, such as 1 of a Java that cannot start, says that the case did not run.
case $code in 0) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
