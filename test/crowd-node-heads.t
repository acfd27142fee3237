# spnode: heads over the limit, without end, and heads that stop short of theirs.
FDS=1000
. test/crowd.sh
crowd_nodes
node_crowd head 60
node_crowd heads 60
node_crowd head-stop 700 -b 90000
node_crowd head-stop 300 -b 14000
