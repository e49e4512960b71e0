#!/usr/bin/env python3
"""Disables one mechanism at a time in a copy of the tree, and runs the test that must then fail. A
test that still passes does not cover the mechanism and is reported. Usage: tools/ablate.py [name ...]"""
import json, os, pathlib, shutil, subprocess, sys, tempfile

CASES = pathlib.Path(__file__).resolve().parent / "ablation" / "cases.json"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    problems = 0
    for case in json.loads(CASES.read_text()):
        name, file, old, new, package, test = (case[k] for k in ("name", "file", "old", "new", "package", "test"))
        if sys.argv[1:] and name not in sys.argv[1:]:
            continue
        with tempfile.TemporaryDirectory() as tmp:
            copy = pathlib.Path(tmp) / "tree"
            shutil.copytree(root, copy, ignore=shutil.ignore_patterns(".git", "bin", "testbed-data", "sweep.out"))
            path = copy / file
            text = path.read_text()
            if old not in text:
                print(f"{name}: {file} does not contain the text to replace")
                problems += 1
                continue
            path.write_text(text.replace(old, new))
            try:
                run = subprocess.run(["go", "test", "-count=1", "-vet=off", "-timeout", "120s", "-run", test, f"./{package}"], cwd=copy,
                                     capture_output=True, text=True, timeout=200, env=dict(os.environ, KEELSTAIR_SEEDS="3"))
                out, ok = run.stdout + run.stderr, run.returncode == 0
            except subprocess.TimeoutExpired:
                out, ok = "--- FAIL: timed out", False
        if "build failed" in out or "setup failed" in out or "no tests to run" in out:
            print(f"{name}: {test} could not be run:\n{out[:600]}")
            problems += 1
        elif ok:
            print(f"{name}: {test} STILL PASSES with the mechanism disabled")
            problems += 1
        else:
            print(f"{name}: {test} fails with the mechanism disabled, as expected", flush=True)
    sys.exit(1 if problems else 0)


main()
