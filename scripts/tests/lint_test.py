"""Runs .ci/lint in a small repository with stand-ins for clang-format, clang-tidy and ninja."""

import json
import os
import pathlib
import shutil
import subprocess
import tempfile
import unittest

CI_FOLDER = pathlib.Path(__file__).resolve().parents[2] / ".ci"

# Reports a finding in each file that contains "finding", and like clang-tidy fails for a folder.
CLANG_TIDY = """#!/bin/bash
[ "$1" = --version ] && exec echo version 1
file="${@: -1}"
[ -f "$file" ] || { echo "error: error reading '$file'"; exit 1; }
! grep -H finding "$file"
"""


class LintTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name) / "checkout"
        build = self.root / "build"
        build.mkdir(parents=True)
        shutil.copytree(CI_FOLDER, self.root / ".ci")
        (self.root / ".gitignore").write_text("build\n")
        source = self.root / "a.cc"
        source.write_text("int a;\n")
        command = {"directory": str(build), "command": f"c++ -o a.o -c {source}", "file": str(source)}
        (build / "compile_commands.json").write_text(json.dumps([command]))
        tools = pathlib.Path(folder.name) / "tools"
        tools.mkdir()
        deps = "echo 'a.o: #deps 1, deps mtime 1 (VALID)'; echo '    ../a.cc'"
        self.add_tool(tools / "ninja", f"#!/bin/bash\n{deps}\n")
        self.add_tool(tools / "clang-format-19", "#!/bin/bash\n")
        self.add_tool(tools / "clang-tidy-19", CLANG_TIDY)
        self.environment = dict(
            os.environ,
            PATH=f"{tools}:{os.environ['PATH']}",
            XDG_CACHE_HOME=str(pathlib.Path(folder.name) / "cache"),
        )
        subprocess.run(["git", "init", "--quiet"], cwd=self.root, check=True)

    def add_tool(self, path, text):
        path.write_text(text)
        path.chmod(0o755)

    def lint(self):
        return subprocess.run(
            [".ci/lint", "build"], cwd=self.root, env=self.environment, capture_output=True, text=True
        )

    # Guards against a failure of the whole check when every file was found clean before.
    def test_second_run_without_changes_passes(self):
        first = self.lint()
        self.assertEqual(first.returncode, 0, first.stdout + first.stderr)
        self.assertIn("1 checked now", first.stdout)
        second = self.lint()
        self.assertEqual(second.returncode, 0, second.stdout + second.stderr)
        self.assertIn("0 checked now", second.stdout)

    # Guards against findings that pass, or that are remembered as clean.
    def test_findings_fail_in_each_run(self):
        self.assertEqual(self.lint().returncode, 0)
        (self.root / "a.cc").write_text("int finding;\n")
        for _ in range(2):
            self.assertNotEqual(self.lint().returncode, 0)


if __name__ == "__main__":
    unittest.main()
