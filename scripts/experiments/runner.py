"""Builds the variants and plays their days, several at a time."""

import concurrent.futures
import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import threading

from experiments.plan import ExperimentError, Plan, Play, Variant


# Lines of a failed program's output that are shown.
SHOWN_LINES = 3


class PlayFailed(Exception):
    """One play produced no usable report."""


class Stopped(Exception):
    """The user stopped the experiment."""


class Runner:
    """Keeps all files of an experiment in one folder; a later run continues there."""

    def __init__(self, plan: Plan, repository: pathlib.Path, folder: pathlib.Path, why: str):
        self.plan = plan
        self.repository = repository
        self.folder = folder
        self.why = why
        self.stopping = threading.Event()
        # Reentrant, because a signal handler may stop the thread that starts a program.
        self.lock = threading.RLock()
        self.children: set[subprocess.Popen] = set()

    def open_folder(self) -> None:
        """Creates the folder, or checks that it holds the same experiment."""
        stored = self.folder / "plan.json"
        if stored.exists():
            if stored.read_text() != self.plan.to_json():
                raise ExperimentError(
                    f"{self.folder} holds another experiment; choose a new folder")
            return
        if self.folder.exists() and any(self.folder.iterdir()):
            raise ExperimentError(f"{self.folder} is not empty and holds no experiment")
        self.folder.mkdir(parents=True, exist_ok=True)
        stored.write_text(self.plan.to_json())

    def report_path(self, play: Play) -> pathlib.Path:
        site = pathlib.Path(play.site).stem
        day = pathlib.Path(play.day).stem
        return self.folder / "plays" / play.variant / site / f"{day}-{play.seed}.json"

    def source_folder(self, variant: Variant) -> pathlib.Path:
        return self.folder / "source" / variant.source_id

    def prepare(self, variant: Variant) -> None:
        """Checks the variant out and builds it."""
        source = self.source_folder(variant)
        if (source / ".built").exists():
            return
        shutil.rmtree(source, ignore_errors=True)
        source.parent.mkdir(parents=True, exist_ok=True)
        self.command(["git", "clone", "--quiet", "--shared", "--no-checkout",
                      str(self.repository), str(source)])
        self.command(["git", "-C", str(source), "checkout", "--quiet", "--detach", variant.commit])
        for path, _ in variant.patches:
            self.command(["git", "-C", str(source), "apply", path])
        self.command([self.plan.bench, "build"], cwd=source)
        (source / ".built").touch()

    def command(self, words: list[str], cwd: pathlib.Path | None = None) -> str:
        """Runs a program to its end; `stop` ends it early."""
        with self.lock:
            if self.stopping.is_set():
                raise Stopped
            child = subprocess.Popen(words, cwd=cwd, text=True, stdout=subprocess.PIPE,
                                     stderr=subprocess.STDOUT, start_new_session=True)
            self.children.add(child)
        if self.stopping.is_set():
            self.stop()
        try:
            output, _ = child.communicate()
        finally:
            with self.lock:
                self.children.discard(child)
        if self.stopping.is_set():
            raise Stopped
        if child.returncode != 0:
            last = " | ".join(output.strip().splitlines()[-SHOWN_LINES:]) or "no output"
            raise PlayFailed(f"{pathlib.Path(words[0]).name} {words[1]} ended with "
                             f"{child.returncode}: {last}")
        return output

    def stop(self) -> None:
        """Ends the programs that this experiment started."""
        with self.lock:
            self.stopping.set()
            for child in self.children:
                # The session of a child holds what it started itself.
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(child.pid, signal.SIGTERM)

    def play(self, play: Play) -> None:
        target = self.report_path(play)
        if target.exists():
            return
        variant = next(v for v in self.plan.variants if v.name == play.variant)
        target.parent.mkdir(parents=True, exist_ok=True)
        partial = target.with_suffix(".partial")
        partial.unlink(missing_ok=True)
        words = [self.plan.bench, "run", play.site, play.day, "--seed",
                 str(play.seed + variant.seed_offset), "--jobs", "1", "--report", str(partial),
                 "--why", f"{self.why} ({play.variant})", *self.plan.bench_flags]
        self.command(words, cwd=self.source_folder(variant))
        try:
            json.loads(partial.read_text())
        except (OSError, ValueError) as error:
            raise PlayFailed(f"no readable report: {error}") from error
        partial.rename(target)

    def run(self, jobs: int) -> list[tuple[Play, str]]:
        """Plays what is missing. Returns the failed plays with their causes."""
        for variant in self.plan.variants:
            print(f"preparing {variant.name} ({variant.commit[:8]})", file=sys.stderr)
            try:
                self.prepare(variant)
            except PlayFailed as error:
                raise ExperimentError(f"variant {variant.name}: {error}") from error
        plays = self.plan.plays()
        failed: list[tuple[Play, str]] = []
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            waiting = {pool.submit(self.play, play): play for play in plays}
            for done, future in enumerate(concurrent.futures.as_completed(waiting), 1):
                try:
                    future.result()
                except PlayFailed as error:
                    failed.append((waiting[future], str(error)))
                except Stopped:
                    continue
                print(f"\r{done} of {len(plays)} plays, {len(failed)} failed", end="",
                      file=sys.stderr, flush=True)
        print(file=sys.stderr)
        if self.stopping.is_set():
            raise Stopped
        return failed

    def collect_journal(self) -> int:
        """Copies the bench's journal entries of all variants into the repository."""
        copied = 0
        for folder in {self.source_folder(variant) for variant in self.plan.variants}:
            source = folder / "journal"
            for entry in source.rglob("*") if source.exists() else []:
                target = self.repository / "journal" / entry.relative_to(source)
                if entry.is_file() and not target.exists():
                    target.parent.mkdir(parents=True, exist_ok=True)
                    shutil.copyfile(entry, target)
                    copied += entry.parent == source
        return copied
