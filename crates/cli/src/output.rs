//! Output in columns or JSON.

use std::io::{self, Write};

use comfy_table::{Table, presets};
use ridgeworks_api::v1;
use serde::Serialize;

use crate::arguments::OutputFormat;
use crate::error::CliError;

const EXCERPT_CHARACTERS: usize = 60;

/// Where a command writes what it found.
pub struct Output {
    format: OutputFormat,
}

/// Columns with their rows.
pub struct Columns<const N: usize> {
    /// Headings.
    pub headings: [&'static str; N],
    /// Cells by row.
    pub rows: Vec<[String; N]>,
}

impl<const N: usize> Columns<N> {
    /// Columns with a row for each item.
    pub fn of<T>(
        headings: [&'static str; N],
        items: &[T],
        row: impl Fn(&T) -> [String; N],
    ) -> Self {
        Self {
            headings,
            rows: items.iter().map(row).collect(),
        }
    }

    fn render(&self) -> String {
        let mut table = Table::new();
        table.load_style(presets::NOTHING);
        table.set_header(self.headings);
        for row in &self.rows {
            table.add_row(row);
        }
        table.trim_fmt()
    }
}

impl Output {
    /// An output in this form.
    pub fn new(format: OutputFormat) -> Self {
        Self { format }
    }

    /// Writes the message as JSON, or the columns that it makes.
    pub fn show<M: Serialize, const N: usize>(
        &self,
        message: &M,
        columns: impl Fn(&M) -> Columns<N>,
    ) -> Result<(), CliError> {
        match self.format {
            OutputFormat::Json => self.json(message),
            OutputFormat::Table => self.columns(&columns(message)),
        }
    }

    /// Writes the message as JSON, or a text for a human reader.
    pub fn tell<M: Serialize>(
        &self,
        message: &M,
        text: impl Fn(&M) -> String,
    ) -> Result<(), CliError> {
        match self.format {
            OutputFormat::Json => self.json(message),
            OutputFormat::Table => self.line(&text(message)),
        }
    }

    /// Whether the output is JSON.
    pub fn is_json(&self) -> bool {
        self.format == OutputFormat::Json
    }

    /// Writes one line of JSON.
    pub fn json<M: Serialize>(&self, message: &M) -> Result<(), CliError> {
        let text = serde_json::to_string(message).map_err(|_| CliError::UnencodableOutput)?;
        self.line(&text)
    }

    /// Writes columns.
    pub fn columns<const N: usize>(&self, columns: &Columns<N>) -> Result<(), CliError> {
        self.line(&columns.render())
    }

    /// Writes one line.
    pub fn line(&self, text: &str) -> Result<(), CliError> {
        let mut standard_output = io::stdout().lock();
        writeln!(standard_output, "{text}")?;
        standard_output.flush()?;
        Ok(())
    }
}

/// An accepted change, as JSON output shows it.
#[derive(Debug, Serialize)]
pub struct AcceptedChange {
    /// Kind of the object.
    pub kind: &'static str,
    /// Name of the object.
    pub name: String,
    /// What happened.
    pub action: ChangeAction,
    /// Version of the object; absent after a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Revision of the configuration; absent when nothing changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// What happened to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// It was created or replaced.
    Applied,
    /// It is as asked for already.
    Unchanged,
    /// It was deleted.
    Deleted,
    /// A split was proposed.
    Proposed,
    /// The partner consented; further consents are missing.
    Consented,
    /// Every partner consented.
    InForce,
}

impl ChangeAction {
    fn text(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::Unchanged => "unchanged",
            Self::Deleted => "deleted",
            Self::Proposed => "proposed",
            Self::Consented => "consented",
            Self::InForce => "in force",
        }
    }
}

impl AcceptedChange {
    /// The change as a line for a human reader.
    pub fn text(&self) -> String {
        let mut text = format!("{} {} {}", self.kind, self.name, self.action.text());
        if let Some(version) = self.version {
            text.push_str(&format!(", version {version}"));
        }
        if let Some(revision) = self.revision {
            text.push_str(&format!(", revision {revision}"));
        }
        text
    }
}

#[derive(Serialize)]
struct ErrorReport<'a> {
    error: ErrorReportBody<'a>,
}

#[derive(Serialize)]
struct ErrorReportBody<'a> {
    exit_status: u8,
    reason: &'static str,
    message: String,
    operation_id: Option<&'a str>,
}

/// Writes a failure to standard error.
pub fn print_error(format: OutputFormat, error: &CliError) {
    match format {
        OutputFormat::Table => eprintln!("error: {error}"),
        OutputFormat::Json => {
            let status = error.exit_status();
            let report = ErrorReport {
                error: ErrorReportBody {
                    exit_status: status as u8,
                    reason: status.name(),
                    message: error.to_string(),
                    operation_id: error.operation_id(),
                },
            };
            // The report holds only numbers and strings, so that encoding it cannot fail.
            eprintln!("{}", serde_json::to_string(&report).unwrap_or_default());
        }
    }
}

/// A number, or a dash for an absent one.
pub fn number_or_dash(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}

/// A text, or a dash for an empty one.
pub fn text_or_dash(text: &str) -> String {
    if text.is_empty() {
        "-".to_owned()
    } else {
        text.to_owned()
    }
}

/// The beginning of a text that came from outside, on one line and without control characters, which
/// a terminal would carry out.
pub fn excerpt(text: &str) -> String {
    let clean = |character: char| {
        if character.is_control() {
            ' '
        } else {
            character
        }
    };
    let mut beginning: String = text.chars().take(EXCERPT_CHARACTERS).map(clean).collect();
    if text.chars().nth(EXCERPT_CHARACTERS).is_some() {
        beginning.push('…');
    }
    beginning
}

/// `yes` or `no`.
pub fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// The last part of an enumeration's name in the schema, in lower case: `NODE_STATE_ALIVE` with the
/// prefix `NODE_STATE_` becomes `alive`.
pub fn state_name(schema_name: &str, prefix: &str) -> String {
    let short = schema_name.strip_prefix(prefix).unwrap_or(schema_name);
    short.to_ascii_lowercase()
}

/// The parts of a split as `north=400 south=600`.
pub fn shares_text(shares: &[v1::Share]) -> String {
    let parts: Vec<String> = shares
        .iter()
        .map(|share| format!("{}={}", share.partner, share.permille))
        .collect();
    parts.join(" ")
}
