//! `deploy/build.sh` on a small workspace in a temporary folder: the program that it leaves is of the sources that are
//! there. Guards against a build folder that was kept, over which other sources are laid: cargo compares times, and leaves
//! an older program in place (`docs/incidents/older-program-kept-by-the-build.md`).

use std::fs::{self, File};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, SystemTime};

use tempfile::TempDir;

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/build.sh");
const PROGRAM: &str = "target/release/playhouse";
const PART: &str = "crates/part/src/lib.rs";

fn manifest(name: &str, rest: &str) -> String {
    format!("[package]\nname = \"{name}\"\nversion = \"0.1.0\"\nedition = \"2024\"\n\n{rest}")
}

fn part_that_says(text: &str) -> String {
    format!("pub const TEXT: &str = \"{text}\";\n")
}

fn write(root: &Path, name: &str, text: &str) {
    let path = root.join(name);
    fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
    fs::write(path, text).expect("a file");
}

/// A workspace like this repository's: a program that prints what another package says.
fn workspace(text: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let root = folder.path();
    write(root, "Cargo.toml", &manifest("whole", "[workspace]\nmembers = [\".\", \"crates/*\"]\n"));
    write(root, "src/lib.rs", "");
    write(root, "api/openapi.yaml", "");
    write(root, "crates/part/Cargo.toml", &manifest("part", ""));
    write(root, PART, &part_that_says(text));
    write(
        root,
        "crates/playhouse/Cargo.toml",
        &manifest("playhouse", "[dependencies]\npart = { path = \"../part\" }\n"),
    );
    write(root, "crates/playhouse/src/main.rs", "fn main() { print!(\"{}\", part::TEXT) }\n");
    write(root, "deploy/build.sh", &fs::read_to_string(SCRIPT).expect("the script"));
    assert!(cargo(root, &["generate-lockfile", "--offline"]).status.success());
    folder
}

fn cargo(root: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO")).args(arguments).current_dir(root).output().expect("cargo")
}

fn build(root: &Path, environment: &[(&str, &str)]) -> Output {
    let mut script = Command::new("bash");
    script.arg("deploy/build.sh").current_dir(root).envs(environment.iter().copied());
    script.output().expect("bash")
}

fn printed(root: &Path) -> String {
    let output = Command::new(root.join(PROGRAM)).output().expect("the program");
    String::from_utf8(output.stdout).expect("text")
}

/// Replaces the part by one whose file is older than all that was built, as a file from an archive is.
fn lay_older_source_over(root: &Path, text: &str) {
    write(root, PART, text);
    let file = File::options().write(true).open(root.join(PART)).expect("the file");
    file.set_modified(SystemTime::now() - Duration::from_secs(86_400)).expect("its time");
}

fn assert_success(output: &Output) {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn sources_older_than_the_last_build_are_built() {
    let folder = workspace("old");
    let root = folder.path();
    assert_success(&build(root, &[]));
    assert_eq!(printed(root), "old");
    lay_older_source_over(root, &part_that_says("new"));
    assert_success(&build(root, &[]));
    assert_eq!(printed(root), "new");
}

#[test]
fn a_program_that_cargo_built_without_the_script_is_replaced() {
    let folder = workspace("old");
    let root = folder.path();
    assert_success(&cargo(root, &["build", "--release", "--package", "playhouse"]));
    lay_older_source_over(root, &part_that_says("new"));
    assert_success(&build(root, &[]));
    assert_eq!(printed(root), "new");
}

#[test]
fn a_target_folder_of_the_caller_leaves_no_older_program() {
    let folder = workspace("old");
    let root = folder.path();
    assert_success(&build(root, &[]));
    write(root, PART, &part_that_says("new"));
    assert_success(&build(root, &[("CARGO_TARGET_DIR", "elsewhere")]));
    assert_eq!(printed(root), "new");
}

#[test]
fn a_build_that_fails_leaves_no_older_program() {
    let folder = workspace("old");
    let root = folder.path();
    assert_success(&build(root, &[]));
    lay_older_source_over(root, "this is no source\n");
    assert!(!build(root, &[]).status.success());
    assert!(!root.join(PROGRAM).exists());
}
