"""Output format and statistics that all benchmarks share."""

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
        Name of the measured quantity, with its scenario.
    value : float
        Measured value.
    unit : str
        Unit of value and baseline.
    baseline : float, optional
        Value to compare with: a target, or a measurement of the same run.
    seed : int or str, optional
        Seed of the run, or another name of its inputs.
    """
    compared = "-" if baseline is None else f"{baseline:.4g}"
    ratio = f"{value / baseline:.3f}" if baseline else "-"
    print(f"{name} {value:.4g} {unit} {compared} {ratio} {seed}", flush=True)


def percentile(values: list[float], share: float) -> float:
    """Return the percentile of values at a share from 0 to 1; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
