# spnode: connections that send nothing, up to the limit of descriptors.
FDS=100
. test/crowd.sh
crowd_nodes
node_crowd idle 200 -t 400
