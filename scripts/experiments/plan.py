"""What an experiment plays: variants of the code, and days with seeds."""

import dataclasses
import hashlib
import json
import pathlib
import re
import subprocess


class ExperimentError(Exception):
    """An error that the user can correct; its text is the whole message."""


@dataclasses.dataclass(frozen=True)
class Variant:
    """A commit with patches on top; `patches` holds (path, content hash)."""

    name: str
    commit: str
    patches: tuple[tuple[str, str], ...] = ()
    # Added to each seed, so that one commit can be compared with itself on other seeds.
    seed_offset: int = 0

    @property
    def source_id(self) -> str:
        """Equal for variants of the same source code."""
        text = self.commit + "".join(content for _, content in self.patches)
        return hashlib.sha256(text.encode()).hexdigest()[:12]


@dataclasses.dataclass(frozen=True)
class Play:
    variant: str
    site: str
    day: str
    seed: int

    @property
    def pair(self) -> tuple[str, str, int]:
        return (self.site, self.day, self.seed)

    def __str__(self) -> str:
        return f"{self.variant} {pathlib.Path(self.site).stem} {self.day} seed {self.seed}"


@dataclasses.dataclass(frozen=True)
class Plan:
    bench: str
    sites: tuple[str, ...]
    days: tuple[str, ...]
    seeds: tuple[int, ...]
    variants: tuple[Variant, ...]
    bench_flags: tuple[str, ...] = ()

    def plays(self) -> list[Play]:
        # All variants of a pair are neighbours, so that they see the same load of the machine.
        return [
            Play(variant.name, site, day, seed)
            for seed in self.seeds
            for site in self.sites
            for day in self.days
            for variant in self.variants
        ]

    def to_json(self) -> str:
        return json.dumps(dataclasses.asdict(self), indent=1, sort_keys=True)


def parse_seeds(text: str) -> tuple[int, ...]:
    """Reads `1,4,7-9`."""
    seeds: list[int] = []
    for part in text.split(","):
        if not (match := re.fullmatch(r"(\d+)(?:-(\d+))?", part)):
            raise ExperimentError(f'"{text}" is not a list of seeds such as 1,4,7-9')
        first = int(match[1])
        last = int(match[2] or first)
        if last < first:
            raise ExperimentError(f"the range {part} of seeds is empty")
        seeds.extend(range(first, last + 1))
    if len(set(seeds)) != len(seeds):
        raise ExperimentError(f'"{text}" names a seed twice')
    return tuple(seeds)


def resolve_commit(repository: pathlib.Path, name: str) -> str:
    result = subprocess.run(
        ["git", "-C", repository, "rev-parse", "--verify", "--quiet", name + "^{commit}"],
        capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise ExperimentError(f'"{name}" is not a commit of {repository}')
    return result.stdout.strip()


def parse_variant(repository: pathlib.Path, text: str) -> Variant:
    """Reads `NAME=COMMIT[+PATCH...]`."""
    name, separator, rest = text.partition("=")
    if not separator or not re.fullmatch(r"[A-Za-z0-9_.-]+", name):
        raise ExperimentError(f'"{text}" is not a variant: NAME=COMMIT[+PATCH...]')
    commit, *paths = rest.split("+")
    patches = []
    for path in paths:
        try:
            content = pathlib.Path(path).read_bytes()
        except OSError as error:
            raise ExperimentError(f"patch {path}: {error.strerror}") from error
        patches.append((str(pathlib.Path(path).resolve()), hashlib.sha256(content).hexdigest()))
    return Variant(name, resolve_commit(repository, commit), tuple(patches))
