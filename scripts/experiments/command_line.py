"""Command line of `scripts/experiment`; docs/experiments.md describes it."""

import argparse
import pathlib
import signal
import sys

from experiments import output
from experiments.analysis import Results
from experiments.plan import ExperimentError, Plan, Variant, parse_seeds, parse_variant
from experiments.runner import Runner, Stopped

EXIT_FAILED_PLAYS = 1
EXIT_USAGE = 2
EXIT_STOPPED = 130


def parse_arguments(words: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="scripts/experiment",
        description="Plays the same days and seeds on several variants of the code and compares "
                    "them in pairs. Run again after an interruption, it continues.")
    verbs = parser.add_subparsers(dest="verb", required=True)
    compare = verbs.add_parser("compare", help="compare variants; the first is the reference")
    compare.add_argument("--variant", action="append", required=True, metavar="NAME=COMMIT[+PATCH]",
                         help="a commit, with patches on top of it; give two or more")
    spread = verbs.add_parser("spread", help="compare one commit with itself on other seeds")
    spread.add_argument("--commit", default="HEAD")
    spread.add_argument("--seed-offset", type=int, default=1000,
                        help="added to the seeds of the second side")
    for verb in (compare, spread):
        verb.add_argument("--bench", required=True, type=pathlib.Path, help="path of the bench")
        verb.add_argument("--site", action="append", required=True, type=pathlib.Path,
                          help="site file; may be repeated")
        verb.add_argument("--days", required=True, help="comma-separated names")
        verb.add_argument("--seeds", required=True, type=str, help="such as 1-6 or 1,4,7-9")
        verb.add_argument("--jobs", type=int, default=1, help="plays at the same time")
        verb.add_argument("--folder", required=True, type=pathlib.Path,
                          help="for sources, reports and results")
        verb.add_argument("--why", required=True, help="note for the bench's journal")
        verb.add_argument("--small", action="store_true", help="play small twins of large days")
        verb.add_argument("--cpu", action="store_true", help="charge processor time")
        verb.add_argument("--repository", type=pathlib.Path, help=argparse.SUPPRESS,
                          default=pathlib.Path(__file__).resolve().parents[2])
    return parser.parse_args(words)


def variants_of(arguments: argparse.Namespace) -> tuple[Variant, ...]:
    if arguments.verb == "spread":
        reference = parse_variant(arguments.repository, f"first={arguments.commit}")
        return (reference, Variant("second", reference.commit, (), arguments.seed_offset))
    variants = tuple(parse_variant(arguments.repository, text) for text in arguments.variant)
    if len(variants) < 2:
        raise ExperimentError("a comparison needs two variants or more")
    if len({variant.name for variant in variants}) != len(variants):
        raise ExperimentError("two variants have the same name")
    return variants


def plan_of(arguments: argparse.Namespace) -> Plan:
    for path in (arguments.bench, *arguments.site):
        if not path.is_file():
            raise ExperimentError(f"{path} is not a file")
    if arguments.jobs < 1:
        raise ExperimentError("--jobs is at least 1")
    flags = (["--small"] if arguments.small else []) + ([] if arguments.cpu else ["--no-cpu"])
    return Plan(str(arguments.bench.resolve()),
                tuple(str(path.resolve()) for path in arguments.site),
                tuple(arguments.days.split(",")), parse_seeds(arguments.seeds),
                variants_of(arguments), tuple(flags))


def run(arguments: argparse.Namespace) -> int:
    plan = plan_of(arguments)
    runner = Runner(plan, arguments.repository, arguments.folder.resolve(), arguments.why)
    runner.open_folder()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: runner.stop())
    try:
        failed = runner.run(arguments.jobs)
    except Stopped:
        print("experiment: stopped; the same command continues it", file=sys.stderr)
        return EXIT_STOPPED
    finally:
        print(f"{runner.collect_journal()} journal entries copied", file=sys.stderr)
    if failed:
        print("failed plays; no comparison without them:")
        for play, cause in failed:
            print(f"  {play}: {cause}")
        return EXIT_FAILED_PLAYS
    results = Results(plan, runner)
    output.print_summary(results)
    output.write_csv(results, runner.folder / "results.csv")
    output.write_svg(results, runner.folder / "worth.svg")
    return 0


def main(words: list[str]) -> int:
    try:
        return run(parse_arguments(words))
    except ExperimentError as error:
        print(f"experiment: {error}", file=sys.stderr)
        return EXIT_USAGE
