#!/usr/bin/env bash
# Builds what the scripts of this review start beside the build of the deploy file. The
# stand-ins of the platform, the instances and the clients are Python of the standard
# library, so they are only compiled, which shows that they can run here.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path("review").glob("rig_2/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
for path in sorted(pathlib.Path("review").glob("*/case.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("the stand-ins of the review can be compiled")
EOF
