# small.sh: starts two nodes, their instances and the log. Sourced by the tests
# of the programs; OUT and TMP are set.
DIR=$TMP
root=$PWD
. "$root/demo/mesh.sh"
trap stop_all EXIT
: >"$DIR/layout"
node sales-1 sales qld-1 180
node lots-1 lots qld-1 25
start_mesh "$root/examples/resale-mesh.json" '[
 {"method": "GET", "path": "/lots/detail", "work_ms": 1, "dist": "const",
  "bytes": 50},
 {"method": "POST", "path": "/lots/reserve", "work_ms": 1, "dist": "const",
  "bytes": 50, "once": true},
 {"method": "GET", "path": "/sales/price", "work_ms": 1, "dist": "const",
  "calls": [{"method": "GET", "path": "/lots/detail"}]}]' >/dev/null || exit 1

# raw ADDR < BYTES: sends the bytes, prints the answer
raw() {
    exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    cat >&7
    timeout 5 cat <&7
    exec 7<&-
}

status_of() { sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p'; }
