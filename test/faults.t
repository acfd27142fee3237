# A short run of faults.sh for two seeds; `make soak-relay` runs more. Each
# violated guarantee prints a line.
for SEED in 1 2; do
    export SEED
    mkdir "$TMP/$SEED"
    (TMP=$TMP/$SEED bash test/faults.sh)
    echo "seed $SEED: done"
done
