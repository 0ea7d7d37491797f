"""No module imports a private module of another package."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "chiveledge"
MODULES = sorted(PACKAGE.rglob("*.py"))


def list_foreign_private_imports(path):
    """Return private modules of other packages that a module imports."""
    own = ("chiveledge", *path.relative_to(PACKAGE).parent.parts)
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        parts = tuple(node.module.split("."))
        private = [i for i, part in enumerate(parts) if part.startswith("_")]
        if parts[0] == "chiveledge" and private and parts[: private[0]] != own:
            found.append(node.module)
    return found


@pytest.mark.parametrize(
    "path", MODULES, ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_private_modules_of_other_packages_are_not_imported(path):
    assert list_foreign_private_imports(path) == []
