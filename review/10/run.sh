#!/bin/bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0
# leaves the disruption out. The record is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sprelay ] && [ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10 review/10
