#!/usr/bin/env python3
"""Plays a case of review/ that is a script, unchanged and on a copy, and keeps what its run leaves.

    tools/play_review_case.py CASE [--out FOLDER]

The case itself removes its processes' logs at its end and tells statuses only. This tells beside them which program ran,
on which machine, by which configuration and limits each gateway went at the end, what was refused or closed by a limit, and
how each process ended. FOLDER (default: a new one) gets record.txt, the logs, the metrics and output.txt; review/ and the
tree are not written. Ends with the exit code of the case. Only the standard library is used."""

import argparse
import contextlib
import hashlib
import os
import pathlib
import platform
import re
import resource
import runpy
import shutil
import subprocess
import sys
import tempfile
import traceback
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target/release/playhouse"
MEANINGS = {0: "the rule held", 1: "the rule was broken, or an exception (below)", 2: "the case could not run"}
# Of a gateway's metrics, those that tell by what it went.
METRICS = re.compile(
    r"garnetdoor_(build_info|configuration_version|ready|client_connections|client_connections_on_other_limits|"
    r"client_limits_version|client_limit|requests_over_limit_total|client_connections_ended_total|"
    r"requests_refused_total)[ {].*")
METRICS_TIMEOUT_S = 3


def output_of(*command):
    """The output of a command, or why there is none."""
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        return done.stdout.strip() if done.returncode == 0 else done.stderr.strip()
    except OSError as error:
        return str(error)


def describe_run():
    """The program, the tree and the machine, a line each."""
    digest = hashlib.sha256(PROGRAM.read_bytes()).hexdigest() if PROGRAM.exists() else "missing"
    yield "program: %s, SHA-256 %s" % (PROGRAM.relative_to(ROOT), digest)
    version = output_of(str(PROGRAM), "--version")
    yield "program says: %s" % ", ".join(version.splitlines())
    if "commit" not in version:
        yield "program says no commit: it is older than 0.8.0"
    changed = output_of("git", "status", "--porcelain", "--", "Cargo.toml", "Cargo.lock", "src", "crates", "api")
    yield "tree: commit %s%s" % (output_of("git", "rev-parse", "--short=12", "HEAD"), "-dirty" if changed else "")
    yield "machine: %s, Linux %s, %d cores, load %s" % (
        platform.machine(), platform.release(), os.cpu_count(), " ".join("%.1f" % load for load in os.getloadavg()))
    yield "Python %s, open files %s, TROUBLE=%s" % (
        platform.python_version(), resource.getrlimit(resource.RLIMIT_NOFILE), os.environ.get("TROUBLE", "1"))


def metrics_of(address, port):
    """A process's metrics, or why there are none."""
    try:
        with urllib.request.urlopen("http://%s:%d/metrics" % (address, port), timeout=METRICS_TIMEOUT_S) as answer:
            return answer.read().decode()
    except OSError as error:
        return "no metrics: %s\n" % error


def keep_evidence(stand_ins, out):
    """Has the stand-ins' deployment leave logs, metrics and ends of its processes in `out` when it closes."""
    close = stand_ins.Deployment.close

    def close_and_keep(deployment):
        ends = []
        for (kind, number), process in deployment.processes.items():
            name = "%s-%d" % (kind, number)
            address = (deployment.control if kind == "core" else deployment.edge)[number]
            running = process.poll() is None
            ends.append("%s: %s" % (name, "ran to the end" if running else "ended by itself: %s" % process.poll()))
            if running:
                (out / (name + ".metrics")).write_text(metrics_of(address, stand_ins.METRICS_PORT))
        (out / "ends.txt").write_text("\n".join(ends) + "\n")
        for log in pathlib.Path(deployment.folder).glob("*.log"):
            shutil.copy(log, out)
        close(deployment)

    stand_ins.Deployment.close = close_and_keep


def play(case, out):
    """Plays the case from a copy below `out`, and returns its exit code."""
    copy = out / "tree"
    shutil.copytree(ROOT / "review", copy / "review")
    (copy / "target").symlink_to(ROOT / "target")
    folder = copy / "review" / case
    os.chdir(folder)
    sys.path.insert(0, str(copy / "review/stand_ins"))
    import small_deployment
    keep_evidence(small_deployment, out)
    with (out / "output.txt").open("w") as output, contextlib.redirect_stdout(output):
        try:
            runpy.run_path(str(folder / "case.py"), run_name="__main__")
            code = 0
        except SystemExit as end:
            code = end.code or 0
        except BaseException:  # What the case doesn't catch is an exit code of 1, as from an interpreter of its own.
            traceback.print_exc(file=output)
            code = 1
    if (folder / "record.txt").exists():
        shutil.copy(folder / "record.txt", out)
    shutil.rmtree(copy)
    return code


def report(out):
    """What the run left, shortened."""
    for name in ["output.txt", "ends.txt"]:
        if (out / name).exists():
            yield from (out / name).read_text().splitlines()
    if (out / "record.txt").exists():
        yield from (line for line in (out / "record.txt").read_text().splitlines() if "BROKEN" in line)
    for metrics in sorted(out.glob("edge-*.metrics")):
        yield from ("%s: %s" % (metrics.stem, line) for line in metrics.read_text().splitlines()
                    if METRICS.fullmatch(line) or line.startswith("no metrics"))
    for log in sorted(out.glob("*.log")):
        yield from ("%s: %s" % (log.stem, line) for line in log.read_text(errors="replace").splitlines()[:20])


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    cases = sorted(path.parent.name for path in ROOT.glob("review/*/case.py"))
    parser.add_argument("case", choices=cases)
    parser.add_argument("--out", type=pathlib.Path, help="a folder that is not there yet")
    arguments = parser.parse_args()
    if arguments.out:
        arguments.out.mkdir(parents=True)
    out = (arguments.out or pathlib.Path(tempfile.mkdtemp(prefix="review-%s-" % arguments.case))).resolve()
    sys.dont_write_bytecode = True
    for line in describe_run():
        print(line, flush=True)
    code = play(arguments.case, out)
    print("exit code %d: %s" % (code, MEANINGS.get(code, "unknown")))
    for line in report(out):
        print("  " + line)
    print("kept in %s" % out)
    return code


if __name__ == "__main__":
    sys.exit(main())
