"""Replays the days of ``deploy/seeds.toml`` with the users' kit, if it is present."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
KIT = ROOT.parent / "given" / "kit" / "more" / "system"
FLEETBENCH = KIT / "more" / "bench-d17393" / "bin" / "fleetbench"
FOLDERS = ("large", "further", "further-grown", "grown", "sites")


def find_site_file(name: str) -> Path:
    """Return the path of the site file of a deployment."""
    paths = [KIT / folder / f"{name}.toml" for folder in FOLDERS]
    return next(path for path in paths if path.exists())


def main() -> int:
    """Replay each day; return 1 if a rule was broken or a process exited by itself."""
    if not FLEETBENCH.exists():
        print("the users' kit is not present; nothing was replayed")
        return 0
    broken = 0
    for entry in tomllib.loads((ROOT / "deploy/seeds.toml").read_text())["seed"]:
        command = [FLEETBENCH, "run", find_site_file(entry["site"]), entry["day"]]
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
