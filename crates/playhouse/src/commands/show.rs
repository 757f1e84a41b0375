//! `members`, `instances` and `status`: the system as one control node sees it, as text or JSON.

use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::call::Target;
use super::{CommandResult, count, list, print, print_json, text};

/// Formats rows under a heading; each column is as wide as its widest cell.
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

/// The values under `keys` as table cells; `-` for a missing or null one.
fn cells(value: &OwnedValue, keys: &[&str]) -> Vec<String> {
    let cell = |key: &&str| match value.get(*key) {
        None => "-".to_owned(),
        Some(cell_value) if cell_value.is_null() => "-".to_owned(),
        Some(cell_value) => cell_value.as_str().map_or_else(|| cell_value.encode(), str::to_owned),
    };
    keys.iter().map(cell).collect()
}

/// Names the node whose view is shown, since that view may be outdated.
fn viewpoint(status: &OwnedValue) -> String {
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

/// Prints the members.
pub async fn members(target: &Target) -> CommandResult {
    let status = target.status().await?;
    let members = list(&status, "Members");
    if target.json {
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
            viewpoint(&status)
        )
        .as_bytes(),
    )
}

/// Prints the instances, of one service or of all.
pub async fn instances(target: &Target, service: Option<&str>) -> CommandResult {
    let status = target.status().await?;
    let all = list(&status, "Instances").iter();
    let selected: Vec<OwnedValue> = all
        .filter(|instance| service.is_none_or(|service| text(instance, "Service") == service))
        .cloned()
        .collect();
    let omitted = count(&status, "InstancesMore");
    if target.json {
        return print_json(&simd_json::json!({ "Instances": selected, "InstancesMore": omitted }));
    }
    let keys = ["Service", "Id", "Address", "Zone", "Version", "Slots", "State", "Keeper"];
    let rows = selected.iter().map(|instance| cells(instance, &keys)).collect();
    let heading = ["service", "id", "address", "zone", "version", "slots", "state", "beats to"];
    let omitted = if omitted > 0 { format!("and {omitted} more, of any service\n") } else { String::new() };
    print(format!("{}{omitted}{}\n", table(&heading, rows), viewpoint(&status)).as_bytes())
}

/// Prints the status of the system and, first of all, its problems.
pub async fn status(target: &Target) -> CommandResult {
    let status = target.status().await?;
    if target.json {
        let (mut status, problems) = (status.clone(), problems(&status));
        if let Some(fields) = status.as_object_mut() {
            fields.insert("Well".to_owned(), problems.is_empty().into());
            fields.insert("NotWell".to_owned(), problems.into());
        }
        return print_json(&status);
    }
    print(render_status(&status).as_bytes())
}

/// Number of problems that the first line lists; the others are counted.
const MAX_LISTED_PROBLEMS: usize = 6;

/// Whether a membership status counts as up.
fn is_up(member_status: &str) -> bool {
    matches!(member_status, "alive" | "suspect")
}

/// Seconds in a unit that fits their size.
fn format_duration(seconds: f64) -> String {
    match seconds {
        ..120.0 => format!("{seconds:.0} s"),
        ..7_200.0 => format!("{:.0} min", seconds / 60.0),
        _ => format!("{:.0} h", seconds / 3_600.0),
    }
}

/// The number under a key.
fn number(value: &OwnedValue, key: &str) -> Option<f64> {
    value.get(key).and_then(|found| found.cast_f64())
}

/// The problems in a status response, the most severe first.
pub fn problems(status: &OwnedValue) -> Vec<String> {
    let mut found = Vec::new();
    let members = list(status, "Members");
    let since = |member: &OwnedValue| match number(member, "SinceS") {
        Some(seconds) => format!("{} for {}", text(member, "Standing"), format_duration(seconds)),
        None => text(member, "Standing").to_owned(),
    };
    let leads = status.get("Leads").and_then(|leads| leads.as_bool()).unwrap_or(false);
    if !leads && text(status, "Leader").is_empty() {
        found.push("nobody is known to lead, so that no change is taken".to_owned());
    }
    let voters = list(status, "Voters");
    let mut lost_voters = Vec::new();
    for voter in voters {
        let address = text(voter, "Place");
        match members.iter().find(|member| text(member, "Place") == address) {
            Some(member) if is_up(text(member, "Standing")) => {}
            Some(member) => {
                lost_voters.push(format!("voter {} ({address}) is {}", text(member, "Name"), since(member)))
            }
            None => lost_voters.push(format!("voter {address} is not known here")),
        }
    }
    let (up_count, needed) = (voters.len() - lost_voters.len(), voters.len() / 2 + 1);
    if !lost_voters.is_empty() && up_count < needed {
        found.push(format!("{up_count} of {} voters up, {needed} needed", voters.len()));
    }
    let no_spare_left = !lost_voters.is_empty() && up_count == needed;
    found.append(&mut lost_voters);
    if no_spare_left {
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
            found.push(format!("{what} at {name}, a write has waited for {}", format_duration(waits)));
        }
    }
    if !voters.is_empty() && matches!(text(status, "ConfigVersion"), "" | "00000000") {
        found.push("no configuration has been taken yet".to_owned());
    }
    let gateways: Vec<&OwnedValue> =
        members.iter().filter(|member| text(member, "Part") == "foyer").collect();
    if !gateways.iter().any(|gateway| is_up(text(gateway, "Standing"))) {
        found.push("no foyer is up".to_owned());
    }
    for gateway in gateways {
        let name = text(gateway, "Name");
        let behind = count(gateway, "Behind");
        if text(gateway, "Standing") == "dead" {
            found.push(format!("foyer {name} is {}", since(gateway)));
        } else if is_up(text(gateway, "Standing")) && behind > 0 {
            found.push(format!("foyer {name} is behind by {behind} entries"));
        }
    }
    for rollout in list(status, "Rollouts") {
        let elapsed = number(rollout, "SinceS").unwrap_or(0.0);
        let period = number(rollout, "RolloutPeriodS").unwrap_or(f64::MAX);
        if text(rollout, "State") == "in_progress" && elapsed > period {
            let (service, version) = (text(rollout, "Service"), text(rollout, "TargetVersion"));
            let (elapsed, period) = (format_duration(elapsed), format_duration(period));
            found.push(format!("the roll-out of {service} to {version} waits: {elapsed} of {period}"));
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

/// The first line of the output: `all is well`, or the most severe problems.
fn summary_line(status: &OwnedValue) -> String {
    let problems = problems(status);
    if problems.is_empty() {
        return "all is well".to_owned();
    }
    let omitted = problems.len().saturating_sub(MAX_LISTED_PROBLEMS);
    let omitted = if omitted > 0 { format!("; and {omitted} more") } else { String::new() };
    let listed: Vec<String> = problems.into_iter().take(MAX_LISTED_PROBLEMS).collect();
    format!("NOT WELL: {}{omitted}", listed.join("; "))
}

/// Formats a status response as text.
pub fn render_status(status: &OwnedValue) -> String {
    let mut out = format!("{}\n{}\n", summary_line(status), viewpoint(status));
    let (committed, applied) = (count(status, "LogCommitted"), count(status, "LogApplied"));
    out.push_str(&format!("term {}, log at {committed}, applied {applied}\n", count(status, "Term")));
    out.push_str(&format!("configuration {}\n", text(status, "ConfigVersion")));
    let members = list(status, "Members");
    let mut programs: Vec<&str> = members.iter().map(|member| text(member, "Program")).collect();
    programs.sort_unstable();
    programs.dedup();
    let agreed = count(status, "AgreedForm");
    // A control node of a version without format versions reports neither.
    if agreed > 0 {
        out.push_str(&format!("programs {}; form {agreed} agreed\n", programs.join(", ")));
    }
    let member_status = |address: &str| {
        let member = members.iter().find(|member| text(member, "Place") == address);
        member.map_or(("-", "unknown"), |member| (text(member, "Name"), text(member, "Standing")))
    };
    let voters = list(status, "Voters");
    let row = |voter: &OwnedValue| {
        let address = text(voter, "Place");
        let (name, status_text) = member_status(address);
        vec![name.to_owned(), address.to_owned(), text(voter, "Life").to_owned(), status_text.to_owned()]
    };
    let up_count = voters.iter().filter(|voter| is_up(member_status(text(voter, "Place")).1)).count();
    out.push_str(&format!(
        "\nvoters: {} of {} up, {} needed\n",
        up_count,
        voters.len(),
        voters.len() / 2 + 1
    ));
    out.push_str(&table(&["name", "place", "life", "standing"], voters.iter().map(row).collect()));
    let gateways: Vec<&OwnedValue> =
        members.iter().filter(|member| text(member, "Part") == "foyer").collect();
    let ready = gateways.iter().filter(|gateway| is_up(text(gateway, "Standing"))).count();
    out.push_str(&format!("\nfoyers: {ready} of {} up\n", gateways.len()));
    let keys = ["Name", "Place", "Zone", "Standing", "Behind"];
    out.push_str(&table(
        &["name", "place", "zone", "standing", "behind"],
        gateways.iter().map(|gateway| cells(gateway, &keys)).collect(),
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
