#!/usr/bin/env python3
"""Takes one mechanism away at a time, in a copy of the tree, and runs the test
that is meant to miss it. A test that still passes proves nothing, and is
reported. Usage: tools/ablate.py [name ...]"""
import json, os, pathlib, shutil, subprocess, sys, tempfile

CASES = pathlib.Path(__file__).resolve().parent / "ablation" / "cases.json"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    bad = 0
    for case in json.loads(CASES.read_text()):
        name, file, old, new, mod, test = (case[k] for k in ("name", "file", "old", "new", "package", "test"))
        if sys.argv[1:] and name not in sys.argv[1:]:
            continue
        with tempfile.TemporaryDirectory() as tmp:
            copy = pathlib.Path(tmp) / "tree"
            shutil.copytree(root, copy, ignore=shutil.ignore_patterns(".git", "bin", "testbed-data", "sweep.out"))
            path = copy / file
            text = path.read_text()
            if old not in text:
                print(f"{name}: the text to take away is not in {file}")
                bad += 1
                continue
            path.write_text(text.replace(old, new))
            try:
                run = subprocess.run(["go", "test", "-count=1", "-vet=off", "-timeout", "120s", "-run", test, f"./{mod}"], cwd=copy,
                                     capture_output=True, text=True, timeout=200, env=dict(os.environ, KEELSTAIR_SEEDS="3"))
                out, ok = run.stdout + run.stderr, run.returncode == 0
            except subprocess.TimeoutExpired:
                out, ok = "--- FAIL: timed out", False
        if "build failed" in out or "no tests to run" in out:
            print(f"{name}: {test} did not run:\n{out[:600]}")
            bad += 1
        elif ok:
            print(f"{name}: {test} STILL PASSES without it")
            bad += 1
        else:
            print(f"{name}: {test} fails without it, as it should", flush=True)
    sys.exit(1 if bad else 0)


main()
