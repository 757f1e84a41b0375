//! Passes to the program which commit, target and profile it is built from: `GARNETDOOR_COMMIT`, `GARNETDOOR_TARGET` and
//! `GARNETDOOR_PROFILE`. Without a git checkout, or without git, the commit is `unknown`; the build goes on.

use std::path::{Path, PathBuf};
use std::process::Command;

/// What the program is built from, relative to the repository's root.
const SOURCES: [&str; 5] = ["Cargo.toml", "Cargo.lock", "src", "crates", "api"];
/// Parts of them that are not in the program.
const TESTS: &str = ":(exclude,top)crates/*/tests";
/// Files of git that change with the commit.
const GIT_STATE: [&str; 3] = ["HEAD", "logs/HEAD", "packed-refs"];
const ROOT: &str = "../..";
const UNKNOWN: &str = "unknown";

fn main() {
    set("GARNETDOOR_COMMIT", &commit().unwrap_or_else(|| UNKNOWN.to_owned()));
    set("GARNETDOOR_TARGET", &cargo_variable("TARGET"));
    set("GARNETDOOR_PROFILE", &cargo_variable("PROFILE"));
    let git_files = GIT_STATE.iter().filter_map(|name| git(&["rev-parse", "--git-path", name]));
    git_files.map(PathBuf::from).chain(source_paths()).for_each(|path| rerun_if_changed(&path));
}

/// The commit that is checked out, with `-dirty` if sources differ from it.
fn commit() -> Option<String> {
    let mut commit = git(&["rev-parse", "--short=12", "HEAD"])?;
    let sources = SOURCES.map(|name| format!(":(top){name}"));
    let mut status = vec!["status", "--porcelain", "--"];
    status.extend(sources.iter().map(String::as_str));
    status.push(TESTS);
    if !git(&status)?.is_empty() {
        commit.push_str("-dirty");
    }
    Some(commit)
}

/// The output of git in this package's folder; `None` if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}

/// Files and folders of `SOURCES` without the packages' tests.
fn source_paths() -> Vec<PathBuf> {
    let root = Path::new(ROOT);
    let packages = std::fs::read_dir(root.join("crates")).into_iter().flatten().flatten();
    let in_packages =
        packages.flat_map(|package| ["src", "Cargo.toml", "build.rs"].map(|name| package.path().join(name)));
    let at_root = SOURCES.iter().filter(|name| **name != "crates").map(|name| root.join(name));
    at_root.chain(in_packages).collect()
}

fn cargo_variable(name: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| UNKNOWN.to_owned())
}

fn set(name: &str, value: &str) {
    println!("cargo::rustc-env={name}={value}");
}

/// A file that isn't there is left out: cargo would run this script each time.
fn rerun_if_changed(path: &Path) {
    if path.exists() {
        println!("cargo::rerun-if-changed={}", path.display());
    }
}
