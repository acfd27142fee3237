# A short run of the soak under faults (faults.sh) for two seeds; more by
# "make faults". A broken promise prints a line.
for SEED in 1 2; do
    export SEED
    mkdir "$TMP/$SEED"
    (TMP=$TMP/$SEED bash test/faults.sh)
    echo "seed $SEED: over"
done
