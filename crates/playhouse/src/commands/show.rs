//! `members`, `instances`, `status`: what one prompter knows, for people and for scripts.

use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::call::At;
use super::{Done, count, list, print, print_json, text};

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

pub async fn members(at: &At) -> Done {
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

pub async fn instances(at: &At, service: Option<&str>) -> Done {
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

pub async fn status(at: &At) -> Done {
    let status = at.status().await?;
    if at.json {
        return print_json(&status);
    }
    print(words(&status).as_bytes())
}

fn words(status: &OwnedValue) -> String {
    let mut out = format!("{}\n", by(status));
    let (committed, applied) = (count(status, "LogCommitted"), count(status, "LogApplied"));
    out.push_str(&format!("term {}, log at {committed}, applied {applied}\n", count(status, "Term")));
    out.push_str(&format!("configuration {}\n", text(status, "ConfigVersion")));
    let members = list(status, "Members");
    let mut programs: Vec<&str> = members.iter().map(|member| text(member, "Program")).collect();
    programs.sort_unstable();
    programs.dedup();
    out.push_str(&format!("programs {}; form {} agreed\n", programs.join(", "), count(status, "AgreedForm")));
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
    let up =
        voters.iter().filter(|voter| matches!(standing(text(voter, "Place")).1, "alive" | "suspect")).count();
    out.push_str(&format!("\nvoters: {} of {} up, {} needed\n", up, voters.len(), voters.len() / 2 + 1));
    out.push_str(&table(&["name", "place", "life", "standing"], voters.iter().map(row).collect()));
    let foyers: Vec<&OwnedValue> = members.iter().filter(|member| text(member, "Part") == "foyer").collect();
    let ready = foyers.iter().filter(|foyer| matches!(text(foyer, "Standing"), "alive" | "suspect")).count();
    out.push_str(&format!("\nfoyers: {ready} of {} up\n", foyers.len()));
    let keys = ["Name", "Place", "Zone", "Standing"];
    out.push_str(&table(
        &["name", "place", "zone", "standing"],
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
