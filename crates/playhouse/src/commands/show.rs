//! `members`, `instances`, `status`: what one prompter knows, for people and for scripts.

use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::call::Target;
use super::{CommandResult, count, list, print, print_json, text};

/// Rows under a heading, each column as wide as its widest cell.
fn table(heading: &[&str], rows: Vec<Vec<String>>) -> String {
    let heading = heading.iter().map(|cell| (*cell).to_owned()).collect::<Vec<_>>();
    let all: Vec<Vec<String>> = std::iter::once(heading).chain(rows).collect();
    let width = |column: usize| all.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..all[0].len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        format!("{}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    all.iter().map(line).collect()
}

fn cells(value: &OwnedValue, keys: &[&str]) -> Vec<String> {
    let cell = |key: &&str| match value.get(*key) {
        None => "-".to_owned(),
        Some(found) if found.is_null() => "-".to_owned(),
        Some(found) => found.as_str().map_or_else(|| found.encode(), str::to_owned),
    };
    keys.iter().map(cell).collect()
}

/// Whose view it is, so that nobody takes an old one for the truth.
fn by(status: &OwnedValue) -> String {
    let node = status.get("Node");
    let name = node.map_or("", |node| text(node, "Name"));
    let leads = status.get("Leads").and_then(|leads| leads.as_bool()).unwrap_or(false);
    let leader = match text(status, "Leader") {
        _ if leads => "it leads".to_owned(),
        "" => "it knows of no leader".to_owned(),
        leader => format!("{leader} leads"),
    };
    format!("as {name} sees it; {leader}")
}

pub async fn members(at: &Target) -> CommandResult {
    let status = at.status().await?;
    let members = list(&status, "Members");
    if at.json {
        return print_json(&simd_json::json!({ "Members": members.to_vec() }));
    }
    let keys = ["Name", "Part", "Place", "Zone", "Standing", "Life", "Program", "OldestForm", "NewestForm"];
    let rows = members.iter().map(|member| cells(member, &keys)).collect();
    print(
        format!(
            "{}{}\n",
            table(
                &["name", "part", "place", "zone", "standing", "life", "program", "forms from", "to"],
                rows
            ),
            by(&status)
        )
        .as_bytes(),
    )
}

pub async fn instances(at: &Target, service: Option<&str>) -> CommandResult {
    let status = at.status().await?;
    let all = list(&status, "Instances").iter();
    let wanted: Vec<OwnedValue> = all
        .filter(|instance| service.is_none_or(|service| text(instance, "Service") == service))
        .cloned()
        .collect();
    let more = count(&status, "InstancesMore");
    if at.json {
        return print_json(&simd_json::json!({ "Instances": wanted, "InstancesMore": more }));
    }
    let keys = ["Service", "Id", "Address", "Zone", "Version", "Slots", "State", "Keeper"];
    let rows = wanted.iter().map(|instance| cells(instance, &keys)).collect();
    let heading = ["service", "id", "address", "zone", "version", "slots", "state", "beats to"];
    let more = if more > 0 { format!("and {more} more, of any service\n") } else { String::new() };
    print(format!("{}{more}{}\n", table(&heading, rows), by(&status)).as_bytes())
}

pub async fn status(at: &Target) -> CommandResult {
    let status = at.status().await?;
    if at.json {
        let (mut status, problems) = (status.clone(), problems(&status));
        if let Some(fields) = status.as_object_mut() {
            fields.insert("Well".to_owned(), problems.is_empty().into());
            fields.insert("NotWell".to_owned(), problems.into());
        }
        return print_json(&status);
    }
    print(render_status(&status).as_bytes())
}

/// Troubles named in the first line; the others are counted.
const MAX_LISTED_PROBLEMS: usize = 6;

fn up(standing: &str) -> bool {
    matches!(standing, "alive" | "suspect")
}

fn span(seconds: f64) -> String {
    match seconds {
        ..120.0 => format!("{seconds:.0} s"),
        ..7_200.0 => format!("{:.0} min", seconds / 60.0),
        _ => format!("{:.0} h", seconds / 3_600.0),
    }
}

fn number(value: &OwnedValue, key: &str) -> Option<f64> {
    value.get(key).and_then(|found| found.cast_f64())
}

/// What is not as it should be, as one prompter knows it; what hurts most comes first.
pub fn problems(status: &OwnedValue) -> Vec<String> {
    let mut found = Vec::new();
    let members = list(status, "Members");
    let since = |member: &OwnedValue| match number(member, "SinceS") {
        Some(seconds) => format!("{} for {}", text(member, "Standing"), span(seconds)),
        None => text(member, "Standing").to_owned(),
    };
    let leads = status.get("Leads").and_then(|leads| leads.as_bool()).unwrap_or(false);
    if !leads && text(status, "Leader").is_empty() {
        found.push("nobody is known to lead, so that no change is taken".to_owned());
    }
    let voters = list(status, "Voters");
    let mut lost = Vec::new();
    for voter in voters {
        let place = text(voter, "Place");
        match members.iter().find(|member| text(member, "Place") == place) {
            Some(member) if up(text(member, "Standing")) => {}
            Some(member) => {
                lost.push(format!("voter {} ({place}) is {}", text(member, "Name"), since(member)))
            }
            None => lost.push(format!("voter {place} is not known here")),
        }
    }
    let (there, needed) = (voters.len() - lost.len(), voters.len() / 2 + 1);
    if !lost.is_empty() && there < needed {
        found.push(format!("{there} of {} voters up, {needed} needed", voters.len()));
    }
    let last = !lost.is_empty() && there == needed;
    found.append(&mut lost);
    if last {
        found.push("the next voter lost stops all changes".to_owned());
    }
    if (1..3).contains(&voters.len()) {
        found.push(format!("a core of {} bears no loss: start prompters", voters.len()));
    }
    if let Some(disk) = status.get("Disk") {
        let waits = number(disk, "WaitsS").unwrap_or(0.0);
        let fails = disk.get("Fails").and_then(|fails| fails.as_bool()).unwrap_or(false);
        if fails || waits >= 1.0 {
            let what = if fails { "the disk fails" } else { "the disk hangs" };
            let name = status.get("Node").map_or("", |node| text(node, "Name"));
            found.push(format!("{what} at {name}, a write has waited for {}", span(waits)));
        }
    }
    if !voters.is_empty() && matches!(text(status, "ConfigVersion"), "" | "00000000") {
        found.push("no configuration has been taken yet".to_owned());
    }
    let foyers: Vec<&OwnedValue> = members.iter().filter(|member| text(member, "Part") == "foyer").collect();
    if !foyers.iter().any(|foyer| up(text(foyer, "Standing"))) {
        found.push("no foyer is up".to_owned());
    }
    for foyer in foyers {
        let name = text(foyer, "Name");
        let behind = count(foyer, "Behind");
        if text(foyer, "Standing") == "dead" {
            found.push(format!("foyer {name} is {}", since(foyer)));
        } else if up(text(foyer, "Standing")) && behind > 0 {
            found.push(format!("foyer {name} is behind by {behind} entries"));
        }
    }
    for rollout in list(status, "Rollouts") {
        let waited = number(rollout, "SinceS").unwrap_or(0.0);
        let period = number(rollout, "RolloutPeriodS").unwrap_or(f64::MAX);
        if text(rollout, "State") == "in_progress" && waited > period {
            let (service, version) = (text(rollout, "Service"), text(rollout, "TargetVersion"));
            let (waited, period) = (span(waited), span(period));
            found.push(format!("the roll-out of {service} to {version} waits: {waited} of {period}"));
        }
    }
    for service in list(status, "InstanceCounts") {
        let (name, silent) = (text(service, "Service"), count(service, "Silent"));
        if count(service, "InService") == 0 {
            found.push(format!("{name} has no instance in service"));
        }
        if silent > 0 {
            found.push(format!("{silent} of {name}'s instances silent"));
        }
    }
    found
}

/// The first line: whether all is well, or what is not.
fn first(status: &OwnedValue) -> String {
    let problems = problems(status);
    if problems.is_empty() {
        return "all is well".to_owned();
    }
    let more = problems.len().saturating_sub(MAX_LISTED_PROBLEMS);
    let more = if more > 0 { format!("; and {more} more") } else { String::new() };
    let told: Vec<String> = problems.into_iter().take(MAX_LISTED_PROBLEMS).collect();
    format!("NOT WELL: {}{more}", told.join("; "))
}

/// The whole for people, as one prompter knows it.
pub fn render_status(status: &OwnedValue) -> String {
    let mut out = format!("{}\n{}\n", first(status), by(status));
    let (committed, applied) = (count(status, "LogCommitted"), count(status, "LogApplied"));
    out.push_str(&format!("term {}, log at {committed}, applied {applied}\n", count(status, "Term")));
    out.push_str(&format!("configuration {}\n", text(status, "ConfigVersion")));
    let members = list(status, "Members");
    let mut programs: Vec<&str> = members.iter().map(|member| text(member, "Program")).collect();
    programs.sort_unstable();
    programs.dedup();
    let agreed = count(status, "AgreedForm");
    // A machine of a program before forms tells of neither.
    if agreed > 0 {
        out.push_str(&format!("programs {}; form {agreed} agreed\n", programs.join(", ")));
    }
    let standing = |place: &str| {
        let found = members.iter().find(|member| text(member, "Place") == place);
        found.map_or(("-", "unknown"), |member| (text(member, "Name"), text(member, "Standing")))
    };
    let voters = list(status, "Voters");
    let row = |voter: &OwnedValue| {
        let place = text(voter, "Place");
        let (name, stands) = standing(place);
        vec![name.to_owned(), place.to_owned(), text(voter, "Life").to_owned(), stands.to_owned()]
    };
    let there = voters.iter().filter(|voter| up(standing(text(voter, "Place")).1)).count();
    out.push_str(&format!("\nvoters: {} of {} up, {} needed\n", there, voters.len(), voters.len() / 2 + 1));
    out.push_str(&table(&["name", "place", "life", "standing"], voters.iter().map(row).collect()));
    let foyers: Vec<&OwnedValue> = members.iter().filter(|member| text(member, "Part") == "foyer").collect();
    let ready = foyers.iter().filter(|foyer| up(text(foyer, "Standing"))).count();
    out.push_str(&format!("\nfoyers: {ready} of {} up\n", foyers.len()));
    let keys = ["Name", "Place", "Zone", "Standing", "Behind"];
    out.push_str(&table(
        &["name", "place", "zone", "standing", "behind"],
        foyers.iter().map(|foyer| cells(foyer, &keys)).collect(),
    ));
    let keys = ["Service", "InService", "Silent", "Draining", "Gone"];
    let counts = list(status, "InstanceCounts").iter().map(|service| cells(service, &keys)).collect();
    out.push_str("\ninstances\n");
    out.push_str(&table(&["service", "in service", "silent", "draining", "gone"], counts));
    let row = |rollout: &OwnedValue| {
        let mut row = cells(rollout, &["Service", "CurrentVersion", "TargetVersion", "State"]);
        row.push(rollout.get("Votes").filter(|votes| !votes.is_null()).map_or("-".to_owned(), |votes| {
            let failed = count(votes, "TrialFailed");
            format!(
                "{} on, {} back, {failed} of {} failed",
                count(votes, "On"),
                count(votes, "Back"),
                count(votes, "Trial")
            )
        }));
        row
    };
    out.push_str("\nroll-outs\n");
    let rows = list(status, "Rollouts").iter().map(row).collect();
    out.push_str(&table(&["service", "in service", "ordered", "state", "votes"], rows));
    out
}
