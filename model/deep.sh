# Searches the ownership model with larger bounds: bash model/deep.sh
#
# Each search takes some minutes and up to MODEL_MEMORY_MB (8000).
set -u
here=$(dirname "$0")
export MODEL_SECONDS=${MODEL_SECONDS:-1800}
export MODEL_MEMORY_MB=${MODEL_MEMORY_MB:-8000}
export MODEL_HASH_BITS=27 MODEL_STATS=1
for bounds in "-DMEMBERS=3 -DACTIVE=3 -DREVISIONS=1 -DTERM=2" \
  "-DMEMBERS=2 -DACTIVE=1 -DREVISIONS=6 -DTERM=2" \
  "-DMEMBERS=3 -DACTIVE=2 -DREVISIONS=3 -DTERM=1" \
  "-DMEMBERS=3 -DACTIVE=3 -DREVISIONS=2 -DTERM=2" \
  "-DSECOND_GUARDIANS=1 -DDECLARE_ONLY=1 -DREVISIONS=1 -DTERM=1 -DROUNDS=2" \
  "-DSECOND_GUARDIANS=1 -DREVISIONS=1 -DTERM=1" \
  "-DMEMBERS=3 -DACTIVE=3 -DREVISIONS=3 -DTERM=1"; do
  # shellcheck disable=SC2086
  echo "$bounds: $(bash "$here/search.sh" $bounds 2>&1)"
done
echo "consent of any round accepted: $(MODEL_DEPTH=60 bash "$here/search.sh" \
  -DSECOND_GUARDIANS=1 -DDECLARE_ONLY=1 -DREVISIONS=1 -DTERM=1 -DROUNDS=2 \
  -DMUTATE_ANY_ROUND 2>&1)"
