//! A change by name: what it removes goes, what it brings stands in the place of its namesake or at the end.
//! The result is one whole configuration, which is checked as any other.

use std::collections::{HashMap, HashSet};

use simd_json::prelude::*;
use simd_json::{OwnedValue, json};

use crate::faults::{Faults, quoted};
use crate::json::parse;
use crate::read::{Fields, Place, title, told, top_version};

/// The whole that `change` makes of `base`. Names to remove that are not there change nothing: what the
/// operator wants gone is gone, and a change prepared on an older list stays good.
pub fn merged(base: &[u8], change: &[u8]) -> Result<OwnedValue, Faults> {
    let mut base = parse(base)?;
    let mut change = parse(change)?;
    let mut faults = Faults::default();
    let removed = checked(&change, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut entries = taken_list(&mut base);
    entries.retain(|entry| {
        let (kind, name) = title(entry);
        !removed.contains(&(kind.to_owned(), name.to_owned()))
    });
    let brought = change.get_mut("Upsert").map(taken_list).unwrap_or_default();
    let mut places: HashMap<(String, String), usize> =
        entries.iter().enumerate().map(|(at, entry)| (owned(title(entry)), at)).collect();
    for entry in brought {
        match places.get(&owned(title(&entry))) {
            Some(&at) => entries[at] = entry,
            None => {
                places.insert(owned(title(&entry)), entries.len());
                entries.push(entry);
            }
        }
    }
    // `checked` has seen to both fields; the whole is an object because it was one.
    let version = change.remove("ConfigVersion").ok().flatten().unwrap_or_else(|| json!(null));
    for (name, value) in [("ConfigVersion", version), ("ResourceSet", OwnedValue::from(entries))] {
        if base.insert(name.to_owned(), value).is_err() {
            return Err(Faults::single("", "an object"));
        }
    }
    Ok(base)
}

fn owned((kind, name): (&str, &str)) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}

/// Takes the entries out, so that they need not be copied.
fn taken_list(of: &mut OwnedValue) -> Vec<OwnedValue> {
    let list = of.get_mut("ResourceSet").and_then(|list| list.as_array_mut());
    list.map(|list| std::mem::take(&mut *list).into_iter().collect()).unwrap_or_default()
}

/// Faults of the change's own form, and the kinds and names that it removes.
fn checked(change: &OwnedValue, faults: &mut Faults) -> HashSet<(String, String)> {
    let mut removed = HashSet::new();
    let Some(top) = Fields::new(change, Place::Top, faults) else { return removed };
    top_version(&top, None, faults);
    if top.get("Remove").is_some() {
        let lists = top.wanted("Remove", "lists of names by kind", faults, |value| value.as_object());
        let place = top.at("Remove");
        for (kind, names) in lists.into_iter().flatten() {
            let place = Place::Field(&place, kind);
            let Some(names) = names.as_array() else {
                faults.add(place, format_args!("a list of names; there is {}", told(names)));
                continue;
            };
            for (at, name) in names.iter().enumerate() {
                match name.as_str() {
                    Some(name) => drop(removed.insert((kind.clone(), name.to_owned()))),
                    None => {
                        faults.add(Place::Item(&place, at), format_args!("a name; there is {}", told(name)))
                    }
                }
            }
        }
    }
    if top.get("Upsert").is_some() {
        let upsert = top.object("Upsert", faults);
        let upsert = upsert.and_then(|upsert| Fields::new(upsert, top.at("Upsert"), faults));
        if let Some(upsert) = upsert.filter(|upsert| upsert.get("ResourceSet").is_some()) {
            let entries = upsert.wanted("ResourceSet", "a list of entries", faults, |value| value.as_array());
            let list = upsert.at("ResourceSet");
            let mut titles = HashSet::new();
            for (at, entry) in entries.into_iter().flatten().enumerate() {
                let (kind, name) = title(entry);
                let place = Place::Entry(&list, at, kind, name);
                if !titles.insert((kind, name)) {
                    faults.add(place, "one entry of this kind and name");
                }
                if removed.contains(&owned((kind, name))) {
                    let name = quoted(name);
                    faults.add(place, format_args!("either here or under Remove; {name} stands in both"));
                }
            }
        }
    }
    removed
}
