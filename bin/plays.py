"""Runs benchmark days with several versions of this project and compares their worth.

Shared by bin/rounds and bin/ablate. A day is a scenario of the benchmark program, which prints
the worth of a run in a line `worth X = whole day ...`. Only this worth is read and compared; the
score, which the program prints separately, is ignored. A play is one run of a day with a seed and
a version. Each version is run in a clone. Clones are created beside this checkout and must not be
below /tmp, because the benchmark gives each process a private /tmp.
"""

import concurrent.futures
import math
import pathlib
import random
import re
import shutil
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"
# A play that takes longer counts as failed; most take half a minute to three minutes.
PLAY_SECONDS = 900
WORTH = re.compile(r"^worth (-?[0-9.]+) = whole day", re.MULTILINE)
BROKEN = re.compile(r"^(rules broken: .*|.*BROKEN: .*)$", re.MULTILINE)


def add_options(parser, clones, why):
    """Adds the options that all comparisons share."""
    parser.add_argument("--days", default=DAYS, help="names of days, separated by commas")
    parser.add_argument("--seeds", type=int, default=4, help="number of seeds per day")
    parser.add_argument("--first-seed", type=int, default=1, help="seed that draws the others")
    parser.add_argument("--with", dest="new", default="HEAD", help="revision under test")
    parser.add_argument("--bench", default="fleetbench", help="benchmark program")
    parser.add_argument("--jobs", type=int, default=4, help="number of concurrent plays")
    parser.add_argument("--clones", type=pathlib.Path, default=ROOT.parent / clones)
    parser.add_argument("--why", default=why, help="comment in the journal entries")
    parser.add_argument("--json", type=pathlib.Path, help="also write all results to this file")


def git(*args, cwd=ROOT):
    return subprocess.run(
        ["git", *args], cwd=cwd, check=True, capture_output=True, text=True
    ).stdout.strip()


def short_hash(revision):
    """Returns the short commit hash of a revision."""
    return git("rev-parse", "--short=10", revision)


def clone(revision, folder, suffix=""):
    """Returns the path of a clone of a revision; creates the clone if it does not exist."""
    name = short_hash(revision)
    target = folder / (name + suffix)
    if not target.exists():
        folder.mkdir(parents=True, exist_ok=True)
        git("clone", "-q", str(ROOT), str(target))
        git("checkout", "-q", name, cwd=target)
    return target


def draw_seeds(first, count):
    generator = random.Random(first)
    return [generator.randrange(1, 1 << 40) for _ in range(count)]


def find_program(name):
    """Returns the absolute path of a program."""
    found = shutil.which(name)
    if found is None:
        sys.exit(f"program not found: {name}; set it with --bench")
    return str(pathlib.Path(found).absolute())


def build(bench, checkout):
    done = subprocess.run(
        [bench, "build"], cwd=checkout, capture_output=True, text=True, check=False
    )
    if done.returncode != 0:
        sys.exit(f"{checkout.name}: build failed: {(done.stdout + done.stderr)[-2000:]}")


def play(bench, checkout, site, day, seed, why):
    """Runs a day once; returns its worth and the last report of broken rules."""
    command = [bench, "run", str(site), day, "--seed", str(seed), "--jobs", "1", "--why", why]
    done = subprocess.run(
        command, cwd=checkout, capture_output=True, text=True, timeout=PLAY_SECONDS, check=False
    )
    worth = WORTH.search(done.stdout)
    if worth is None:
        raise RuntimeError(
            f"{day} --seed {seed} in {checkout.name} printed no worth: {done.stdout[-500:]}"
        )
    broken = BROKEN.findall(done.stdout)
    return float(worth.group(1)), broken[-1].strip() if broken else ""


def play_all(options, site, versions):
    """Runs each day and seed with each version; versions maps names to clones.

    Returns the plays as dicts, and descriptions of the failed ones. Always copies the journal
    entries of the clones into the journal of this checkout, even after an error.
    """
    days = options.days.split(",")
    seeds = draw_seeds(options.first_seed, options.seeds)
    bench = find_program(options.bench)
    plays, failed = [], []
    try:
        for checkout in versions.values():
            build(bench, checkout)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            futures = {}
            for number, (day, seed) in enumerate((d, s) for d in days for s in seeds):
                # Versions alternate, so that changes of the machine's speed affect all of them;
                # each seed starts with a different version, so that none always runs first.
                names = list(versions)
                offset = number % len(names)
                for name in names[offset:] + names[:offset]:
                    why = f"{options.why}: {name}"
                    arguments = (bench, versions[name], site, day, seed, why)
                    futures[pool.submit(play, *arguments)] = (name, day, seed)
            for future in concurrent.futures.as_completed(futures):
                name, day, seed = futures[future]
                try:
                    worth, broken = future.result()
                except (RuntimeError, subprocess.TimeoutExpired) as error:
                    failed.append(f"{name} {day} --seed {seed}: {error}")
                    continue
                plays.append(
                    {"version": name, "day": day, "seed": seed, "worth": worth, "broken": broken}
                )
                print(".", end="", file=sys.stderr, flush=True)
        print(file=sys.stderr)
    finally:
        for checkout in versions.values():
            shutil.copytree(checkout / "journal", ROOT / "journal", dirs_exist_ok=True)
    return plays, failed


def worth_by_seed(plays, version, day=None):
    """Returns the worth of each play of a version, by day and seed."""
    return {
        (play["day"], play["seed"]): play["worth"]
        for play in plays
        if play["version"] == version and day in (None, play["day"])
    }


def broken_rules(plays):
    return [
        f"{play['version']} {play['day']} --seed {play['seed']}: {play['broken']}"
        for play in plays
        if play["broken"]
    ]


def paired_differences(new, old):
    """Returns new minus old for each day and seed that both contain."""
    return [new[key] - old[key] for key in new if key in old]


def standard_deviation(values):
    return statistics.stdev(values) if len(values) > 1 else 0.0


def standard_error(values):
    return standard_deviation(values) / math.sqrt(len(values))


def is_significant(differences):
    """Returns whether the absolute mean difference exceeds twice its standard error."""
    error = standard_error(differences)
    return len(differences) > 1 and abs(statistics.mean(differences)) > 2 * error


def format_summary(values):
    return f"{statistics.mean(values):7.3f} {standard_deviation(values):6.3f}"


def format_difference(differences):
    verdict = "beyond the spread" if is_significant(differences) else "within the spread"
    mean = statistics.mean(differences)
    return f"{mean:+7.3f} +- {standard_error(differences):5.3f}  {verdict}"
