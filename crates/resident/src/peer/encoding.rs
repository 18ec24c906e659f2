//! Encoding of messages between nodes: the body that each version reads, and sections with what came later
//! ([`super::frame`]; `docs/design/versions.md`).
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::borrow::Cow;
use std::fmt;

use bytes::Bytes;
use ridgeworks_routing::{ConfigurationExtras, EngineWarmUp};
use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

use super::extension::{
    Extension, ExtensionDatagram, ExtensionReply, ExtensionRequest, FIRST_EXTENSION_KIND,
};
use super::frame::{FrameError, RawSection, frame, unframe};
use super::message::{
    Confirmations, Datagram, DrainSection, Envelope, PeerReply, PeerRequest, ViewUpdate,
};

/// What came later than the first protocol version, each with the number of its kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Section {
    /// Beside a configuration.
    Configuration(ConfigurationExtras),
    /// Beside changes of engines.
    EngineStarts(Vec<EngineWarmUp>),
    /// Beside confirmations, a question for the view, or its answer.
    ZoneDrains(DrainSection),
}

/// Numbers of the kinds of sections. A number is never used again for something else.
mod section_kinds {
    pub const CONFIGURATION: u16 = 1;
    pub const ENGINE_STARTS: u16 = 2;
    pub const ZONE_DRAINS: u16 = 3;
}

impl Section {
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError> {
        Ok(match self {
            Self::Configuration(extras) => (section_kinds::CONFIGURATION, to_bytes(extras)?),
            Self::EngineStarts(warm_ups) => (section_kinds::ENGINE_STARTS, to_bytes(warm_ups)?),
            Self::ZoneDrains(news) => (section_kinds::ZONE_DRAINS, to_bytes(news)?),
        })
    }

    /// `None` for a kind that this version does not know.
    fn decode(raw: RawSection<'_>) -> Result<Option<Self>, MessageError> {
        Ok(Some(match raw.kind {
            section_kinds::CONFIGURATION => Self::Configuration(from_bytes(raw.content)?),
            section_kinds::ENGINE_STARTS => Self::EngineStarts(from_bytes(raw.content)?),
            section_kinds::ZONE_DRAINS => Self::ZoneDrains(from_bytes(raw.content)?),
            _ => return Ok(None),
        }))
    }
}

/// Numbers of the kinds of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum MessageKind {
    /// [`Datagram`].
    Datagram = 1,
    /// [`PeerRequest`] in its envelope.
    Request = 2,
    /// [`PeerReply`] in its envelope.
    Reply = 3,
}

/// What nodes send each other.
pub trait Message: Clone {
    /// Its kind.
    const KIND: MessageKind;
    /// Its kinds that the first protocol version does not know.
    type Extension: Extension;

    /// Number that joins a request and its reply.
    fn number(&self) -> u64 {
        0
    }

    /// Such a kind that travels beside a harmless body.
    fn extension(&self) -> Option<&Self::Extension>;

    /// The body: the message itself, or one that does no harm where the message is not known.
    fn body(&self) -> Cow<'_, Self>;

    /// Puts such a kind in place of the body.
    fn set_extension(&mut self, extension: Self::Extension);

    /// What nodes of the first protocol version do not know of it.
    fn sections(&self) -> Vec<Section> {
        Vec::new()
    }

    /// Takes in what came beside the body, from a node that speaks this version of the protocol.
    fn set_sections(&mut self, _protocol: u16, _sections: Vec<Section>) {}
}

impl Message for Datagram {
    const KIND: MessageKind = MessageKind::Datagram;
    type Extension = ExtensionDatagram;

    fn extension(&self) -> Option<&ExtensionDatagram> {
        match self {
            Self::Extension(extension) => Some(extension),
            _ => None,
        }
    }

    fn body(&self) -> Cow<'_, Self> {
        match self {
            // An answer to a question that nobody asked.
            Self::Extension(_) => Cow::Owned(Self::FoundRead {
                number: 0,
                read: None,
            }),
            _ => Cow::Borrowed(self),
        }
    }

    fn set_extension(&mut self, extension: ExtensionDatagram) {
        *self = Self::Extension(extension);
    }

    fn sections(&self) -> Vec<Section> {
        match self {
            Self::Heartbeat(heartbeat) => heartbeat.confirmations.sections(),
            Self::Confirmed { told, .. } => told.sections(),
            _ => Vec::new(),
        }
    }

    fn set_sections(&mut self, protocol: u16, sections: Vec<Section>) {
        match self {
            Self::Heartbeat(heartbeat) => {
                heartbeat.protocol = protocol;
                heartbeat.confirmations.set_sections(sections);
            }
            Self::Confirmed { told, .. } => told.set_sections(sections),
            _ => {}
        }
    }
}

impl Confirmations {
    fn sections(&self) -> Vec<Section> {
        let drains = self.drains.map(DrainSection::Known);
        drains.map(Section::ZoneDrains).into_iter().collect()
    }

    fn set_sections(&mut self, sections: Vec<Section>) {
        for section in sections {
            if let Section::ZoneDrains(DrainSection::Known(known)) = section {
                self.drains = Some(known);
            }
        }
    }
}

impl Message for Envelope<PeerRequest> {
    const KIND: MessageKind = MessageKind::Request;
    type Extension = ExtensionRequest;

    fn number(&self) -> u64 {
        self.number
    }

    fn extension(&self) -> Option<&ExtensionRequest> {
        match &self.body {
            PeerRequest::Extension(extension) => Some(extension),
            _ => None,
        }
    }

    fn body(&self) -> Cow<'_, Self> {
        match self.body {
            // Its answer is none to what was asked, and changes nothing.
            PeerRequest::Extension(_) => Cow::Owned(Self {
                number: self.number,
                body: PeerRequest::ListMembers,
            }),
            _ => Cow::Borrowed(self),
        }
    }

    fn set_extension(&mut self, extension: ExtensionRequest) {
        self.body = PeerRequest::Extension(extension);
    }

    fn sections(&self) -> Vec<Section> {
        match &self.body {
            PeerRequest::FetchView(position) if position.wants_drains => {
                vec![Section::ZoneDrains(DrainSection::Wanted)]
            }
            _ => Vec::new(),
        }
    }

    fn set_sections(&mut self, _protocol: u16, sections: Vec<Section>) {
        if let PeerRequest::FetchView(position) = &mut self.body {
            position.wants_drains = sections.contains(&Section::ZoneDrains(DrainSection::Wanted));
        }
    }
}

impl Message for Envelope<PeerReply> {
    const KIND: MessageKind = MessageKind::Reply;
    type Extension = ExtensionReply;

    fn number(&self) -> u64 {
        self.number
    }

    fn extension(&self) -> Option<&ExtensionReply> {
        match &self.body {
            PeerReply::Extension(extension) => Some(extension),
            _ => None,
        }
    }

    fn body(&self) -> Cow<'_, Self> {
        match self.body {
            PeerReply::Extension(_) => Cow::Owned(Self {
                number: self.number,
                body: PeerReply::Unsupported,
            }),
            _ => Cow::Borrowed(self),
        }
    }

    fn set_extension(&mut self, extension: ExtensionReply) {
        self.body = PeerReply::Extension(extension);
    }

    fn sections(&self) -> Vec<Section> {
        match &self.body {
            PeerReply::View(update) => update.sections(),
            _ => Vec::new(),
        }
    }

    fn set_sections(&mut self, protocol: u16, sections: Vec<Section>) {
        if let PeerReply::View(update) = &mut self.body {
            update.protocol = protocol;
            update.set_sections(sections);
        }
    }
}

impl ViewUpdate {
    /// A section that is left out says that this node does not know what it would hold.
    fn sections(&self) -> Vec<Section> {
        let configuration = self.configuration.as_ref().filter(|_| self.has_extras);
        let extras = configuration.map(|configuration| configuration.extras());
        let engines = self.engines.as_ref().filter(|_| self.has_starts);
        let warm_ups = engines.map(|engines| engines.warm_ups());
        let drains = self.drains.as_deref().cloned().map(DrainSection::Told);
        extras
            .map(Section::Configuration)
            .into_iter()
            .chain(warm_ups.map(Section::EngineStarts))
            .chain(drains.map(Section::ZoneDrains))
            .collect()
    }

    fn set_sections(&mut self, sections: Vec<Section>) {
        for section in sections {
            match section {
                Section::Configuration(extras) => {
                    self.has_extras = true;
                    if let Some(configuration) = &mut self.configuration {
                        configuration.set_extras(extras);
                    }
                }
                Section::EngineStarts(warm_ups) => {
                    self.has_starts = true;
                    if let Some(engines) = &mut self.engines {
                        engines.set_warm_ups(warm_ups);
                    }
                }
                Section::ZoneDrains(news) => {
                    if let DrainSection::Told(told) = news {
                        self.drains = Some(Box::new(told));
                    }
                }
            }
        }
    }
}

/// A message that cannot be encoded or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// It is too large for memory.
    Encode,
    /// The bytes are no such message.
    Decode,
    /// The bytes are no frame.
    Frame(FrameError),
    /// The frame holds a message of another kind.
    Kind(u16),
}

impl MessageError {
    /// Whether what came is not what was sent, so that nothing more is to be expected of the connection.
    pub fn is_corruption(self) -> bool {
        matches!(
            self,
            Self::Frame(FrameError::TooShort | FrameError::Checksum)
        )
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode => write!(formatter, "the message cannot be encoded"),
            Self::Decode => write!(formatter, "the bytes are no such message"),
            Self::Frame(error) => error.fmt(formatter),
            Self::Kind(kind) => write!(formatter, "a message of kind {kind} came instead"),
        }
    }
}

impl std::error::Error for MessageError {}

impl From<FrameError> for MessageError {
    fn from(error: FrameError) -> Self {
        Self::Frame(error)
    }
}

/// Encodes a message.
pub fn encode<T>(message: &T) -> Result<Bytes, MessageError>
where
    T: Message + for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    let body = to_bytes(&*message.body())?;
    let sections = message.sections();
    let sections: Result<Vec<(u16, Vec<u8>)>, MessageError> =
        sections.iter().map(Section::encode).collect();
    let mut sections = sections?;
    if let Some(extension) = message.extension() {
        sections.push(extension.encode()?);
    }
    let bytes = frame(T::KIND as u16, message.number(), &sections, &body);
    Ok(Bytes::from(bytes))
}

/// Reads a message, also one of the first protocol version.
pub fn decode<T>(bytes: &[u8]) -> Result<T, MessageError>
where
    T: Message + Archive,
    T::Archived:
        for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    let Some(frame) = unframe(bytes)? else {
        return from_bytes(bytes);
    };
    if frame.kind != T::KIND as u16 {
        return Err(MessageError::Kind(frame.kind));
    }
    let sections = frame.sections()?;
    let mut message: T = from_bytes(frame.body)?;
    message.set_sections(frame.protocol, known_sections(&sections)?);
    if let Some(extension) = sections.iter().find(|raw| raw.kind >= FIRST_EXTENSION_KIND) {
        message.set_extension(T::Extension::decode(*extension)?);
    }
    Ok(message)
}

/// Number of the request or reply in a frame whose content cannot be read; `None` where the bytes are no frame.
pub fn frame_number(bytes: &[u8]) -> Option<u64> {
    unframe(bytes).ok()?.map(|frame| frame.number)
}

fn known_sections(sections: &[RawSection<'_>]) -> Result<Vec<Section>, MessageError> {
    let mut known = Vec::new();
    for raw in sections {
        known.extend(Section::decode(*raw)?);
    }
    Ok(known)
}

pub(super) fn to_bytes<T>(value: &T) -> Result<Vec<u8>, MessageError>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    let bytes = rkyv::to_bytes::<Error>(value).map_err(|_| MessageError::Encode)?;
    Ok(bytes.into_vec())
}

pub(super) fn from_bytes<T>(bytes: &[u8]) -> Result<T, MessageError>
where
    T: Archive,
    T::Archived:
        for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, Error>(&aligned).map_err(|_| MessageError::Decode)
}
