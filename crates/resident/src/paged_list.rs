//! Puts the pages of a list together, and finds lists that would not end.

use std::collections::HashSet;
use std::fmt;

use ridgeworks_platform::{Listing, Object};

/// Most bytes that the pages of a list may have together.
const MAX_LIST_BYTES: usize = 32 * 1024 * 1024;

/// Why the pages of a list do not make a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFault {
    /// The page tells of another one, but has no object that the pages before it lack.
    NoProgress,
    /// The pages have more bytes than a list may have.
    TooLarge,
}

impl ListFault {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoProgress => "no_progress",
            Self::TooLarge => "list_too_large",
        }
    }
}

impl fmt::Display for ListFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoProgress => write!(formatter, "a page of the list has no new object"),
            Self::TooLarge => write!(formatter, "the list has over {MAX_LIST_BYTES} bytes"),
        }
    }
}

impl std::error::Error for ListFault {}

/// What follows a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextPage {
    /// The page behind this name.
    After(String),
    /// None: the list is whole.
    None,
}

/// The pages of a list so far.
#[derive(Debug, Default)]
pub struct PagedList {
    objects: Vec<Object>,
    names: HashSet<String>,
    bytes: usize,
    /// Revision of the first page.
    revision: Option<u64>,
}

impl PagedList {
    /// Adds a page whose body had this length. An object that came before is not taken again: a watch from the revision of the
    /// first page tells of its changes.
    pub fn add(&mut self, page: Listing, body_bytes: usize) -> Result<NextPage, ListFault> {
        self.bytes += body_bytes;
        if self.bytes > MAX_LIST_BYTES {
            return Err(ListFault::TooLarge);
        }
        self.revision.get_or_insert(page.at);
        let known = self.objects.len();
        for object in page.items {
            if self.names.insert(object.name.clone()) {
                self.objects.push(object);
            }
        }
        if !page.more {
            return Ok(NextPage::None);
        }
        let has_new = self.objects.len() > known;
        let next = page.continue_after.filter(|_| has_new);
        next.map(NextPage::After).ok_or(ListFault::NoProgress)
    }

    /// The objects, and the revision of the first page: a watch that starts there returns every change that the list may lack.
    pub fn finish(self) -> (Vec<Object>, u64) {
        (self.objects, self.revision.unwrap_or_default())
    }
}
