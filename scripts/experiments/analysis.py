"""Paired differences between the variants of an experiment."""

import dataclasses
import json

import numpy

from experiments.plan import ExperimentError, Plan, Play
from experiments.runner import Runner

# Quantile of the normal distribution for a two-sided interval of 95%.
NORMAL_QUANTILE = 1.959964


@dataclasses.dataclass(frozen=True)
class Difference:
    metric: str
    reference: float
    mean: float
    # Half the width of the 95% interval; not a number for fewer than two pairs.
    half_width: float
    pairs: int

    @property
    def is_significant(self) -> bool:
        return abs(self.mean) > self.half_width


def metrics_of(report: dict) -> dict[str, float]:
    """The figures of one play by name. Prices are positive where they reduce the worth."""
    metrics = {"worth": report["G"], "served": report["served"],
               "refused": report["refused"], "failed": report["failed"]}
    for name, weight, share in report["parts"]:
        metrics[f"part: {name}"] = weight * share
    for name, _, price in report["prices"]:
        metrics[f"price: {name}"] = price
    for row in report["classes"]:
        metrics[f"class: {row['name']}"] = row["worth"]
    for row in report["zones"]:
        metrics[f"zone: {row['name']}"] = row["worth"]
    for cause, count, *_ in report["unserved_by"]:
        metrics[f"unserved: {cause}"] = count
    return metrics


def t_quantile(freedom: int) -> float:
    """The 97.5% quantile of Student's t distribution (Cornish-Fisher expansion)."""
    z = NORMAL_QUANTILE
    return (z + (z**3 + z) / (4 * freedom) + (5 * z**5 + 16 * z**3 + 3 * z) / (96 * freedom**2)
            + (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / (384 * freedom**3)
            + (79 * z**9 + 776 * z**7 + 1482 * z**5 - 1920 * z**3 - 945 * z)
            / (92160 * freedom**4))


def paired_difference(metric: str, reference: list[float], other: list[float]) -> Difference:
    if len(reference) != len(other):
        raise ExperimentError(f"{metric}: {len(reference)} and {len(other)} plays are no pairs")
    differences = numpy.subtract(other, reference)
    half_width = float("nan")
    if len(differences) > 1:
        error = differences.std(ddof=1) / numpy.sqrt(len(differences))
        half_width = float(t_quantile(len(differences) - 1) * error)
    return Difference(metric, float(numpy.mean(reference)), float(differences.mean()), half_width,
                      len(differences))


class Results:
    """All reports of a complete experiment."""

    def __init__(self, plan: Plan, runner: Runner):
        self.plan = plan
        missing = [play for play in plan.plays() if not runner.report_path(play).exists()]
        if missing:
            names = "\n  ".join(str(play) for play in missing)
            raise ExperimentError(f"the sets are unequal; these plays are missing:\n  {names}")
        self.reports: dict[Play, dict] = {
            play: json.loads(runner.report_path(play).read_text()) for play in plan.plays()}
        self.metrics = {play: metrics_of(report) for play, report in self.reports.items()}

    def broken_rules(self) -> list[str]:
        lines = []
        for play, report in self.reports.items():
            for rule, count in report["breaks"].items():
                lines.append(f"{play}: {rule} x {count}")
            if report["fault"]:
                lines.append(f"{play}: fault: {report['fault']}")
        return lines

    def differences(self, variant: str, site: str | None) -> list[Difference]:
        """Compares a variant with the first one; a metric that a play lacks is 0 there."""
        reference = self.plan.variants[0].name
        plays = [play for play in self.reports
                 if play.variant == variant and site in (None, play.site)]
        names: dict[str, None] = {}
        for play in plays:
            names.update(dict.fromkeys(self.metrics[play]))
            names.update(dict.fromkeys(self.metrics[Play(reference, *play.pair)]))
        return [
            paired_difference(
                name,
                [self.metrics[Play(reference, *play.pair)].get(name, 0.0) for play in plays],
                [self.metrics[play].get(name, 0.0) for play in plays])
            for name in names
        ]
