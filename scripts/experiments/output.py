"""Prints the comparison and writes it as CSV and SVG."""

import csv
import pathlib

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot  # noqa: E402

from experiments.analysis import Difference, Results  # noqa: E402

# Rows whose difference and reference are both below this are left out of the text.
SHOWN_FROM = 0.0005


def print_summary(results: Results) -> None:
    broken = results.broken_rules()
    print(f"broken rules and faults: {len(broken)}")
    for line in broken:
        print(f"  {line}")
    sites: list[str | None] = list(results.plan.sites)
    for site in sites + ([None] if len(sites) > 1 else []):
        name = pathlib.Path(site).stem if site else "all sites"
        for variant in results.plan.variants[1:]:
            print_differences(f"{name}: {variant.name} - {results.plan.variants[0].name}",
                              results.differences(variant.name, site))


def print_differences(title: str, differences: list[Difference]) -> None:
    print(f"\n{title}, {differences[0].pairs} pairs; * where the 95% interval excludes 0")
    print(f"{'':44}{'reference':>10} {'difference':>20}")
    for row in differences:
        if abs(row.reference) >= SHOWN_FROM or abs(row.mean) >= SHOWN_FROM:
            mark = "*" if row.is_significant else " "
            print(f"{row.metric[:43]:44}{row.reference:10.4f} {row.mean:+9.4f} +- "
                  f"{row.half_width:6.4f} {mark}")


def write_csv(results: Results, path: pathlib.Path) -> None:
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["site", "day", "seed", "variant", "metric", "value"])
        for play, metrics in results.metrics.items():
            for metric, value in metrics.items():
                writer.writerow([pathlib.Path(play.site).stem, play.day, play.seed, play.variant,
                                 metric, value])


def write_svg(results: Results, path: pathlib.Path) -> None:
    """One row for each variant and site: the difference in worth with its interval."""
    rows = []
    for site in results.plan.sites:
        for variant in results.plan.variants[1:]:
            worth = next(row for row in results.differences(variant.name, site)
                         if row.metric == "worth")
            rows.append((f"{variant.name}, {pathlib.Path(site).stem}", worth))
    figure, axes = matplotlib.pyplot.subplots(figsize=(8, 1 + 0.4 * len(rows)))
    axes.errorbar([row.mean for _, row in rows], range(len(rows)),
                  xerr=[row.half_width for _, row in rows], fmt="o", capsize=3)
    axes.axvline(0, color="gray", linewidth=0.8)
    axes.set_yticks(range(len(rows)), [name for name, _ in rows])
    axes.set_xlabel(f"difference in worth from {results.plan.variants[0].name}, 95% interval")
    figure.tight_layout()
    figure.savefig(path)
    matplotlib.pyplot.close(figure)
