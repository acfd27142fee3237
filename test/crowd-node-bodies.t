# spnode: many large bodies of legal size at once, whole.
FDS=500
. test/crowd.sh
crowd_nodes
node_crowd body 400 -b 260000 -p /lots/detail
