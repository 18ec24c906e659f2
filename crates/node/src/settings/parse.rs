//! Reads the settings file and finds every key that cannot be taken over.
//!
//! A deserializer stops at its first error. So each value that it stops at is noted and taken out,
//! and what is left is read again, until all of it can be read.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_path_to_error::{Path, Segment};
use toml::{Table, Value};

use super::check::{Fault, FaultReason};
use super::file::Settings;
use super::keys;

/// Settings from the keys that could be read, and the faults of the others.
#[derive(Debug, Default)]
pub struct Parsed {
    /// The settings; keys with a fault have their defaults.
    pub settings: Settings,
    /// One fault for each key that could not be read.
    pub faults: Vec<Fault>,
    /// Which entries of lists could be read.
    pub entries: RemainingEntries,
}

/// Reads the text of a settings file.
///
/// # Errors
/// Text that is no TOML: nothing of it can be read.
pub fn parse(text: &str) -> Result<Parsed, toml::de::Error> {
    let mut table: Table = text.parse()?;
    let mut faults: Vec<Fault> = Vec::new();
    let mut entries = RemainingEntries::default();
    loop {
        match read(&table) {
            Ok(settings) => {
                return Ok(Parsed {
                    settings,
                    faults,
                    entries,
                });
            }
            Err(error) => {
                let place = Place::of(error.path());
                let in_file = entries.in_file(&place, &table);
                let Some(value) = place.take_out(&mut table) else {
                    return Err(error.into_inner());
                };
                entries.note_removal(&place);
                // An entry that lacks a field since its faulty value was taken out is no new fault.
                if !faults.iter().any(|fault| in_file.holds(&fault.key)) {
                    faults.push(in_file.fault(&value, error.inner()));
                }
            }
        }
    }
}

/// Entries of lists that are still there, by their indices in the file.
#[derive(Debug, Default)]
pub struct RemainingEntries(BTreeMap<String, Vec<usize>>);

impl RemainingEntries {
    /// The key in the file of a key in the settings that were read.
    pub fn key_in_file(&self, key: &str) -> String {
        let original = key.split_once('[').and_then(|(list, rest)| {
            let (index, rest) = rest.split_once(']')?;
            let remaining = self.0.get(list)?;
            let original = remaining.get(index.parse::<usize>().ok()?)?;
            Some(format!("{list}[{original}]{rest}"))
        });
        original.unwrap_or_else(|| key.to_owned())
    }

    /// A flag took the place of a list.
    pub fn forget(&mut self, list: &str) {
        self.0.remove(list);
    }

    /// The place as it is in the file, where entries before it were not taken out.
    fn in_file(&mut self, place: &Place, table: &Table) -> Place {
        let [Step::Key(list), Step::Entry(index), rest @ ..] = place.0.as_slice() else {
            return place.clone();
        };
        let length = table
            .get(list)
            .and_then(Value::as_array)
            .map_or(0, Vec::len);
        let remaining = self
            .0
            .entry(list.clone())
            .or_insert_with(|| (0..length).collect());
        let original = remaining.get(*index).copied().unwrap_or(*index);
        let mut steps = vec![Step::Key(list.clone()), Step::Entry(original)];
        steps.extend_from_slice(rest);
        Place(steps)
    }

    fn note_removal(&mut self, place: &Place) {
        let [Step::Key(list), Step::Entry(index)] = place.0.as_slice() else {
            return;
        };
        let remaining = self.0.get_mut(list);
        if let Some(remaining) = remaining.filter(|remaining| *index < remaining.len()) {
            remaining.remove(*index);
        }
    }
}

fn read(table: &Table) -> Result<Settings, serde_path_to_error::Error<toml::de::Error>> {
    let mut track = serde_path_to_error::Track::new();
    let deserializer =
        serde_path_to_error::Deserializer::new(Value::Table(table.clone()), &mut track);
    Settings::deserialize(deserializer)
        .map_err(|error| serde_path_to_error::Error::new(track.path(), error))
}

/// One step from a value into it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Key(String),
    Entry(usize),
}

/// Where a value stands in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Place(Vec<Step>);

impl Place {
    fn of(path: &Path) -> Self {
        let steps = path.iter().filter_map(|segment| match segment {
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Seq { index } => Some(Step::Entry(*index)),
            Segment::Enum { .. } | Segment::Unknown => None,
        });
        Self(steps.collect())
    }

    /// Takes the value out; `None` where there is none.
    fn take_out(&self, table: &mut Table) -> Option<Value> {
        let (last, way) = self.0.split_last()?;
        let mut root = Value::Table(std::mem::take(table));
        let taken = way
            .iter()
            .try_fold(&mut root, inner)
            .and_then(|holder| remove(holder, last));
        if let Value::Table(rest) = root {
            *table = rest;
        }
        taken
    }

    fn fault(&self, value: &Value, error: &toml::de::Error) -> Fault {
        let pattern = self.text(|_| "[]".to_owned());
        let reason = match keys::allowed(&pattern) {
            Some(allowed) => FaultReason::Unreadable {
                allowed,
                problem: error.message().to_owned(),
            },
            None => FaultReason::UnknownKey {
                allowed: keys::siblings(&pattern).collect(),
            },
        };
        Fault {
            key: self.key(),
            value: value.to_string(),
            reason,
        }
    }

    fn key(&self) -> String {
        self.text(|index| format!("[{index}]"))
    }

    /// Whether a key lies inside of this place.
    fn holds(&self, key: &str) -> bool {
        key.strip_prefix(&self.key())
            .is_some_and(|rest| rest.starts_with('.'))
    }

    fn text(&self, entry: impl Fn(usize) -> String) -> String {
        let mut text = String::new();
        for step in &self.0 {
            match step {
                Step::Key(key) => {
                    if !text.is_empty() {
                        text.push('.');
                    }
                    text.push_str(key);
                }
                Step::Entry(index) => text.push_str(&entry(*index)),
            }
        }
        text
    }
}

fn inner<'a>(holder: &'a mut Value, step: &Step) -> Option<&'a mut Value> {
    match step {
        Step::Key(key) => holder.as_table_mut()?.get_mut(key),
        Step::Entry(index) => holder.as_array_mut()?.get_mut(*index),
    }
}

fn remove(holder: &mut Value, step: &Step) -> Option<Value> {
    match step {
        Step::Key(key) => holder.as_table_mut()?.remove(key),
        Step::Entry(index) => {
            let list = holder.as_array_mut()?;
            (*index < list.len()).then(|| list.remove(*index))
        }
    }
}
