# Guards against a refusal of an instance that ran the request being passed on
# as a promise that it did not run.
. test/fleet.sh
ONCE=$(route once /once/ unsafe 2 0 back)
SAFE=$(route safe /safe/ safe 2 0 back)
node front-1 front
node back-1 back
node back-2 back
publish 00000001 "$ONCE" "$SAFE" >/dev/null
until_ok 10 served front-1 warm POST /once/warm
until_ok 10 served front-1 warm2 GET /safe/warm

echo "answered by the instance that ran it, without a statement:"
for status in 503 429 408; do
    echo "$status: the caller got $(code front-1 "u$status" POST "/once/unstated-$status"), runs $(runs "u$status")"
done
echo "idempotent, answered so by both instances:"
echo "the caller got $(code front-1 s503 GET /safe/unstated-503), runs $(runs s503)"
echo "with a statement:"
echo "the caller got $(code front-1 r1 POST /once/refuse), runs $(runs r1)"
both() { echo $(($(metric back-1 "$1") + $(metric back-2 "$1"))); }
echo "counted: $(both sp_refusals_unstated_total) without a statement, $(both sp_runs_rejected_total) with one"
