# spctl where: where a request would go now and why, without sending it.
. test/fleet.sh
WORKSPACES="$(workspace w1 '["k1"]' 2 0 0)"
node front-1 front
node back-1 back
ZONE=z2 node back-2 back
where() { # ARGS..: the answer of front-1, varying values masked
    "$OUT/spctl" -n "$(ip_of front-1):7407" where "$@" 2>&1 |
        sed -E 's/(cost_ms|run_ms|used|busy|admitted_share|accepted|cross_zone_ms)=[0-9.]+/\1=N/g' | sort
}
until_ok 5 is_up front-1
echo "without a configuration:"
where h.example /safe/x
publish 00000001 "$(public_route safe /safe/ safe 2 1 back)" \
    "$(route none /none/ unsafe 2 0 absent)" >/dev/null
until_ok 10 served front-1 w GET /safe/x
linked() { [ "$(metric front-1 sp_nodes_linked)" -ge 2 ]; }
until_ok 10 linked
runs_before=$(cat "$DIR"/inst-*.out | grep -c "^run ")
echo "a route:"
where h.example /safe/x?q=1
echo "for a workspace:"
where h.example /safe/x w1 | grep ^route
echo "a service without instances:"
where h.example /none/x
echo "no route: $(where h.example /nowhere/)"
echo "no workspace: $(where h.example /safe/x w2)"
echo "bad arguments: $(where h.example 2>&1)"
echo "no node: $("$OUT/spctl" where h.example /safe/x 2>&1)"
kill -9 "$(cat "$DIR/relay-back-1.pid")" "$(cat "$DIR/inst-back-1.pid")"
gone() { where h.example /safe/x | grep -q "instance=back-1 .*accepts=nothing.* selectable=0"; }
echo "an instance is gone: $(until_ok 10 gone && echo yes)"
echo "sent by it: $(($(cat "$DIR"/inst-*.out | grep -c "^run ") - runs_before))"
