//! Changes to single entries by kind and name: a change removes entries, replaces them in their position, or appends
//! them. The result is a whole configuration, which is checked like any other.

use std::collections::{HashMap, HashSet};

use simd_json::prelude::*;
use simd_json::{OwnedValue, json};

use crate::faults::{Faults, quoted};
use crate::json::parse;
use crate::read::{FaultPath, JsonObject, describe, entry_key, read_version};

/// Applies `change` to `base`. Removing an entry that does not exist is no fault: the operator wants it gone, and a
/// change that was prepared on an older list stays valid.
pub fn merge(base: &[u8], change: &[u8]) -> Result<OwnedValue, Faults> {
    let mut base = parse(base)?;
    let mut change = parse(change)?;
    let mut faults = Faults::default();
    let removed = read_removed_keys(&change, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut entries = take_entries(&mut base);
    entries.retain(|entry| {
        let (kind, name) = entry_key(entry);
        !removed.contains(&(kind.to_owned(), name.to_owned()))
    });
    let upserted = change.get_mut("Upsert").map(take_entries).unwrap_or_default();
    let mut positions: HashMap<(String, String), usize> =
        entries.iter().enumerate().map(|(index, entry)| (owned_key(entry_key(entry)), index)).collect();
    for entry in upserted {
        match positions.get(&owned_key(entry_key(&entry))) {
            Some(&index) => entries[index] = entry,
            None => {
                positions.insert(owned_key(entry_key(&entry)), entries.len());
                entries.push(entry);
            }
        }
    }
    // `read_removed_keys` has checked both fields of the change. The base was an object before.
    let version = change.remove("ConfigVersion").ok().flatten().unwrap_or_else(|| json!(null));
    for (name, value) in [("ConfigVersion", version), ("ResourceSet", OwnedValue::from(entries))] {
        if base.insert(name.to_owned(), value).is_err() {
            return Err(Faults::single("", "an object"));
        }
    }
    Ok(base)
}

fn owned_key((kind, name): (&str, &str)) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}

/// Takes the list of entries out of a configuration or of `Upsert`, so that it need not be copied.
fn take_entries(parent: &mut OwnedValue) -> Vec<OwnedValue> {
    let list = parent.get_mut("ResourceSet").and_then(|list| list.as_array_mut());
    list.map(|list| std::mem::take(&mut *list).into_iter().collect()).unwrap_or_default()
}

/// Checks the structure of a change and returns the kinds and names that it removes.
fn read_removed_keys(change: &OwnedValue, faults: &mut Faults) -> HashSet<(String, String)> {
    let mut removed = HashSet::new();
    let Some(top) = JsonObject::new(change, FaultPath::Root, faults) else { return removed };
    read_version(&top, None, faults);
    if top.optional("Remove").is_some() {
        read_remove(&top, &mut removed, faults);
    }
    if top.optional("Upsert").is_some() {
        check_upsert(&top, &removed, faults);
    }
    removed
}

/// Reads the lists of names in `Remove`.
fn read_remove(top: &JsonObject<'_>, removed: &mut HashSet<(String, String)>, faults: &mut Faults) {
    let lists = top.required("Remove", "lists of names by kind", faults, |value| value.as_object());
    let remove_path = top.field_path("Remove");
    for (kind, names) in lists.into_iter().flatten() {
        let path = FaultPath::Field(&remove_path, kind);
        let Some(names) = names.as_array() else {
            faults.add(path, format_args!("a list of names; there is {}", describe(names)));
            continue;
        };
        for (index, name) in names.iter().enumerate() {
            match name.as_str() {
                Some(name) => drop(removed.insert((kind.clone(), name.to_owned()))),
                None => faults
                    .add(FaultPath::Item(&path, index), format_args!("a name; there is {}", describe(name))),
            }
        }
    }
}

/// Checks that `Upsert` contains no entry twice, and none that is removed as well.
fn check_upsert(top: &JsonObject<'_>, removed: &HashSet<(String, String)>, faults: &mut Faults) {
    let Some(upsert) = top.required_child("Upsert", faults) else { return };
    if upsert.optional("ResourceSet").is_none() {
        return;
    }
    let entries = upsert.required("ResourceSet", "a list of entries", faults, |value| value.as_array());
    let list_path = upsert.field_path("ResourceSet");
    let mut keys = HashSet::new();
    for (index, entry) in entries.into_iter().flatten().enumerate() {
        let (kind, name) = entry_key(entry);
        let path = FaultPath::Entry(&list_path, index, kind, name);
        if !keys.insert((kind, name)) {
            faults.add(path, "one entry of this kind and name");
        }
        if removed.contains(&owned_key((kind, name))) {
            let name = quoted(name);
            faults.add(path, format_args!("either here or under Remove; {name} stands in both"));
        }
    }
}
