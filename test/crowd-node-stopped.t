# spnode: large bodies of legal size, piece by piece, that stop short of their
# end and stay open.
FDS=500
. test/crowd.sh
crowd_nodes
node_crowd body-stop 400 -b 260000 -w 30000 -p /lots/detail
node_crowd chunk-stop 400 -b 260000 -w 30000 -p /lots/detail
