#!/bin/sh
# redirected.sh ARGS: sprelay (REDIRECTED, or the one in OUT), its connections to
# other relays led to the proxies of spmesh.
exec env LD_PRELOAD="$OUT/redirect.so" "${REDIRECTED:-$OUT/sprelay}" "$@"
