//! Starts the log: lines of `key=value` pairs, on standard error or in a file.

use std::fmt;
use std::str::FromStr;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::LogSettings;

const APPENDER: &str = "log";
const LINE: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Why the log could not be started.
#[derive(Debug)]
pub enum LogError {
    /// The file could not be opened.
    File(std::io::Error),
    /// The library refused the configuration.
    Configuration(log4rs::config::runtime::ConfigErrors),
    /// Another log was started before.
    Started(log::SetLoggerError),
}

impl fmt::Display for LogError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(error) => write!(formatter, "cannot open the log file: {error}"),
            Self::Configuration(error) => write!(formatter, "cannot configure the log: {error}"),
            Self::Started(error) => write!(formatter, "cannot start the log: {error}"),
        }
    }
}

impl std::error::Error for LogError {}

/// Starts the log of the process.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    // The level was checked with the other settings.
    let level = LevelFilter::from_str(&settings.level).unwrap_or(LevelFilter::Info);
    let appender = appender(settings)?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(LogError::Configuration)?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(LogError::Started)
}

fn appender(settings: &LogSettings) -> Result<Box<dyn Append>, LogError> {
    let encoder = Box::new(PatternEncoder::new(LINE));
    match &settings.file {
        Some(path) => FileAppender::builder()
            .encoder(encoder)
            .build(path)
            .map(|appender| Box::new(appender) as Box<dyn Append>)
            .map_err(LogError::File),
        None => Ok(Box::new(
            ConsoleAppender::builder()
                .encoder(encoder)
                .target(Target::Stderr)
                .build(),
        )),
    }
}
