//! Reads the server-sent events of a streamed answer.

use std::io::{BufRead, BufReader, Read};

use ridgeworks_api::caller_error::{CallerError, CallerErrorBody};
use ridgeworks_api::chat::{ChatCompletionChunk, STREAM_END, Usage};

use super::error::TransportFailure;

const DATA: &str = "data: ";

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    /// Further text.
    Text(String),
    /// Why the answer ended, and the tokens counted.
    Finished(Option<Usage>),
    /// A refusal after the stream had begun.
    Refused(Box<CallerError>),
    /// The mark at the end.
    End,
}

/// Reads events one by one.
pub struct EventReader<Source: Read> {
    source: BufReader<Source>,
}

impl<Source: Read> EventReader<Source> {
    /// Reads from the body of an answer.
    pub fn new(source: Source) -> Self {
        Self {
            source: BufReader::new(source),
        }
    }

    /// The next event.
    ///
    /// # Errors
    /// The body ended or broke before the mark at the end, or an event is not in the expected form.
    pub fn next_event(&mut self) -> Result<StreamEvent, TransportFailure> {
        let mut line = String::new();
        loop {
            line.clear();
            match self.source.read_line(&mut line) {
                Ok(0) | Err(_) => return Err(TransportFailure::Broken),
                Ok(_) => {}
            }
            if let Some(data) = line.trim_end().strip_prefix(DATA) {
                return read_event(data);
            }
        }
    }
}

fn read_event(data: &str) -> Result<StreamEvent, TransportFailure> {
    if data == STREAM_END {
        return Ok(StreamEvent::End);
    }
    if let Ok(body) = serde_json::from_str::<CallerErrorBody>(data) {
        return Ok(StreamEvent::Refused(Box::new(body.error)));
    }
    let chunk: ChatCompletionChunk =
        serde_json::from_str(data).map_err(|_| TransportFailure::Malformed)?;
    let choice = chunk.choices.into_iter().next();
    let choice = choice.ok_or(TransportFailure::Malformed)?;
    if choice.finish_reason.is_some() {
        return Ok(StreamEvent::Finished(chunk.usage));
    }
    Ok(StreamEvent::Text(choice.delta.content.unwrap_or_default()))
}
