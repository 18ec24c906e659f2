//! Lines of nodes' logs, as far as commands need them.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::error::CliError;

/// One line of a node's log.
#[derive(Debug, Clone, Deserialize)]
pub struct LogLine {
    /// When it was written, in RFC 3339.
    pub time: String,
    /// What it is about.
    pub target: String,
    /// What happened.
    pub message: String,
    /// The inputs and the outcome.
    #[serde(default)]
    pub attributes: Map<String, Value>,
    #[serde(default)]
    mdc: LineContext,
}

/// What a line says of the process that wrote it.
#[derive(Debug, Clone, Default, Deserialize)]
struct LineContext {
    node: Option<String>,
}

impl LogLine {
    /// An attribute as text; empty if there is none.
    pub fn text(&self, key: &str) -> String {
        self.attributes.get(key).map(plain).unwrap_or_default()
    }

    /// An attribute as a whole number; `None` if there is none that can be read.
    pub fn number(&self, key: &str) -> Option<i64> {
        self.text(key).parse().ok()
    }

    /// Milliseconds of the day and of some days before, for ordering; times are RFC 3339 of one zone.
    pub fn at_ms(&self) -> Option<i64> {
        let (date, clock) = self.time.split_once('T')?;
        let mut date = date.split('-').filter_map(|part| part.parse::<i64>().ok());
        let (year, month, day) = (date.next()?, date.next()?, date.next()?);
        let clock = clock.get(..12)?;
        let mut parts = clock.split(':');
        let hours: i64 = parts.next()?.parse().ok()?;
        let minutes: i64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        let days = (year * 12 + month) * 31 + day;
        let of_day = (hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64;
        Some(days * 86_400_000 + of_day)
    }
}

/// An attribute's value as text.
pub fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads a log and hands over each line with its node; whatever else the file holds is passed over.
pub fn read_log(path: &Path, mut take: impl FnMut(String, LogLine)) -> Result<(), CliError> {
    let bytes = fs::read(path).map_err(|error| CliError::UnreadableFile {
        path: PathBuf::from(path),
        kind: error.kind(),
    })?;
    let file_name = path.file_stem().unwrap_or_default().to_string_lossy();
    for line in String::from_utf8_lossy(&bytes).lines() {
        let Some(begin) = line.find("{\"time\"") else {
            continue;
        };
        let Ok(parsed) = serde_json::from_str::<LogLine>(&line[begin..]) else {
            continue;
        };
        // Lines of before say nothing of their node; then what gathered them may, or the file's name.
        let before = line[..begin].split_whitespace().last();
        let node = parsed.mdc.node.as_deref().or(before);
        take(node.unwrap_or(&file_name).to_owned(), parsed);
    }
    Ok(())
}
