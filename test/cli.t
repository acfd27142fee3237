# Invalid settings, documents and options: one error line each, status 2.
cd "$TMP" || exit 1
root=$OLDPWD

try() {
    echo "\$ $*"
    "$OUT/$1" "${@:2}" 2>&1
    echo "status $?"
}

good='{"name": "n1", "zone": "z", "service": "s",
 "instance": "127.0.0.1:1", "inbound": "127.0.0.1:2",
 "outbound": "127.0.0.1:3", "mesh": "127.0.0.1:4", "peer": "127.0.0.1:5",
 "admin": "127.0.0.1:6", "log": "127.0.0.1:7", "mesh_token": "12345678"}'
echo "$good" >good.json
try spnode -t -c good.json
sed 's/"zone"/"zoen"/' good.json >unknown.json
try spnode -t -c unknown.json
sed 's/"127.0.0.1:2"/17/' good.json >type.json
try spnode -t -c type.json
sed 's/}/, "stop_ms": -1}/' good.json >range.json
try spnode -t -c range.json
sed 's/}/, "zone": "y"}/' good.json >duplicate.json
try spnode -t -c duplicate.json
sed 's/}//' good.json >broken.json
try spnode -t -c broken.json
sed 's/127.0.0.1:3/127.0.0.1:2/' good.json >same.json
try spnode -t -c same.json
try spnode -t -c missing.json
try spnode --no-such-option
try spnode -V
sed 's/"slots": 25/"slots": 0/' "$root/examples/resale-mesh.json" >slots.json
try spctl check slots.json
sed 's/"service": "lots"/"service": "plots"/' \
    "$root/examples/resale-mesh.json" >service.json
try spctl check service.json
cp "$root"/examples/*.json .
try spctl check resale-mesh.json
try spctl check valve-mesh.json
try spctl nonsense
try spctl status
try spcall -n localhost:1 GET /
try spcall -r x -n 127.0.0.1:1 GET /
echo '{"control": "127.0.0.1:1", "instances": 3}' >up.json
try spup -c up.json
