# spnode: empty lines without end before a request.
. test/crowd.sh
crowd_nodes
node_crowd blank 60
echo "closed: $(closed_some)"
