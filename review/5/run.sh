#!/bin/bash
# The open connections to the store go silent for good; new ones work. Three
# seconds later, when all machines are in touch again, the operator moves a
# route to another service.
CASE=$(cd "$(dirname "$0")" && pwd)
STORE_PORT=8309
. "$CASE/../lib.sh"

CONTACT_S=3
CONFIG_APPLY_MS=2500

# The relays reach the store through a proxy, the operator reaches it itself.
STORE_OF=$NET.251:$STORE_PORT
start proxy "$BIN/proxy" "$STORE_OF" "$STORE"
machine front quotes
machine orders-1 orders
machine tracker-1 tracker
for m in front orders-1 tracker-1; do relay $m; done
for m in front orders-1 tracker-1; do target $m -n 77; done
STATUS_OLD=$(route job-status /status/ safe 1.2 1 tracker 2)
STATUS_NEW=$(route job-status /status/ safe 1.2 1 orders 2)
EXTRA=$(route quote-lookup /quote/ safe 5 2 quotes 2)
publish 00000001 "$STATUS_OLD" >/dev/null
until_ok 20 serves front /status/w-1/x || give_up "no status is served"
sleep 6

publish 00000003 "$STATUS_OLD" "$EXTRA" >/dev/null
sleep 0.1
if [ "$TROUBLE" = 1 ]; then
    note "trouble: the open connections to the store go silent"
    kill -USR1 "$(pid_of proxy)"
fi
clients c front calls -p /status/w-5/ -n 4 -g 20 -t 12 -d 1200
sleep $CONTACT_S.1
[ "$(publish 00000004 "$STATUS_NEW" "$EXTRA")" = 200 ] || give_up "no ack"
note "acked: version 4"
wait_for c

# CONFIG: a request sent later than config_apply_s after the ack of a version
# is run by the old service.
late=$(awk -v bound=$CONFIG_APPLY_MS '$2 == "acked:" {at = $1}
    $2 == "sent" {sent[$3] = $1}
    $2 == "run" && $5 == "i-tracker-1" && at && sent[$3] > at + bound {n++}
    END {print n + 0}' "$LOG")
verdict "$late" "requests run by the old service after config_apply_s (CONFIG)"
