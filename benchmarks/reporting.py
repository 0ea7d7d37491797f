"""The one format in which figures are printed."""

from __future__ import annotations


def print_result(
    name: str,
    value: float,
    unit: str,
    *,
    baseline: float | None = None,
    seed: int | str = "-",
) -> None:
    """Print ``name value unit baseline_value ratio seed``.

    Parameters
    ----------
    name : str
        Name of the figure, with its scenario.
    value : float
        What was measured.
    unit : str
        Unit of value and baseline.
    baseline : float, optional
        The same figure of what it is compared with, in the same run.
    seed : int or str, optional
        Seed of the run.
    """
    compared = "-" if baseline is None else f"{baseline:.4g}"
    ratio = f"{value / baseline:.3f}" if baseline else "-"
    print(f"{name} {value:.4g} {unit} {compared} {ratio} {seed}", flush=True)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values; 0 where there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
