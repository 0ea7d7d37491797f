"""Replays the days of ``deploy/seeds.toml`` with the users' kit, if it is present."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
KIT = ROOT.parent / "given" / "kit" / "more" / "system"
BENCH = KIT / "more" / "bench-d17393" / "bin" / "fleetbench"
FOLDERS = ("large", "further", "further-grown", "grown", "sites")


def find_site(name: str) -> Path:
    """Return the path of the site file of a deployment."""
    paths = [KIT / folder / f"{name}.toml" for folder in FOLDERS]
    return next(path for path in paths if path.exists())


def main() -> int:
    """Replay each day; return 1 if a rule was broken or a process exited by itself."""
    if not BENCH.exists():
        print("the users' kit is not present; nothing was replayed")
        return 0
    broken = 0
    for entry in tomllib.loads((ROOT / "deploy/seeds.toml").read_text())["seed"]:
        command = [BENCH, "run", find_site(entry["site"]), entry["day"]]
        if entry["seed"]:
            command += ["--seed", str(entry["seed"])]
        command += ["--why", f"replay: {entry['cause']}"]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        failed = (
            "rules broken" in completed.stdout or "ended by itself" in completed.stdout
        )
        broken += failed
        verdict = "BROKEN" if failed else "held"
        print(entry["site"], entry["day"], entry["seed"], entry["rule"], verdict)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
