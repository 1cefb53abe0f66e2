#!/usr/bin/env python3
"""Runs clang-tidy on C++ sources and remembers which ones are clean.

Usage: lint_cached.py BUILD_FOLDER CACHE_FOLDER JOBS < list of sources

A source is skipped when the same preprocessed text, with the same compile command, checks and clang-tidy, has been clean before.
Exits with 1 when any source has findings.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

# Options that only name outputs of the compiler.
OUTPUT_OPTIONS = {"-o", "-MF", "-MT"}
LAUNCHERS = ("ccache", "cmake")


def preprocess_command(entry):
    """Returns the compile command of an entry with -E in place of -c and without compiler launchers and outputs."""
    words = shlex.split(entry["command"])
    compiler = next(i for i, word in enumerate(words) if os.path.basename(word).startswith(("c++", "g++", "clang++")))
    command = []
    skip = False
    for word in words[compiler:]:
        if skip or word in OUTPUT_OPTIONS:
            skip = word in OUTPUT_OPTIONS
            continue
        if word not in ("-c", "-MD"):
            command.append(word)
    return command + ["-E", "-P"]


def key_of(entry, salt):
    """Returns the name under which a clean result of the entry is remembered, or None when it cannot be preprocessed."""
    command = preprocess_command(entry)
    result = subprocess.run(command, cwd=entry["directory"], capture_output=True, check=False)
    if result.returncode != 0:
        return None
    # Comments carry NOLINT marks, which preprocessing drops.
    own_text = pathlib.Path(entry["file"]).read_bytes()
    return hashlib.sha256(salt + " ".join(command).encode() + own_text + result.stdout).hexdigest()


def lint(entry, build, cache, salt):
    """Returns the findings of one source; empty for a clean one."""
    key = key_of(entry, salt)
    if key and (cache / key).exists():
        return ""
    result = subprocess.run(["clang-tidy", "--quiet", "-p", build, entry["file"]], capture_output=True, text=True, check=False)
    if result.returncode != 0:
        return result.stdout + result.stderr
    if key:
        (cache / key).touch()
    return ""


def main():
    build, cache_name, jobs = sys.argv[1:4]
    cache = pathlib.Path(cache_name)
    cache.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    salt = version + pathlib.Path(".clang-tidy").read_bytes()
    wanted = {os.path.abspath(line.strip()) for line in sys.stdin if line.strip()}
    with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as file:
        entries = {entry["file"]: entry for entry in json.load(file)}
    missing = sorted(wanted - entries.keys())
    if missing:
        print("not compiled, so not linted:", *missing, sep="\n  ")
        return 1
    with concurrent.futures.ThreadPoolExecutor(int(jobs)) as pool:
        findings = list(pool.map(lambda name: lint(entries[name], build, cache, salt), sorted(wanted)))
    print("".join(findings), end="")
    return 1 if any(findings) else 0


if __name__ == "__main__":
    sys.exit(main())
