//! Encoding of messages between nodes: a body that every protocol version reads, and sections for what earlier versions don't have
//! ([`super::frame`]; `docs/design/versions.md`).
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::borrow::Cow;
use std::fmt;

use bytes::Bytes;
use ridgeworks_routing::{ConfigurationExtras, EngineSoftware, EngineWarmUp};
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

/// Parts of a message that earlier protocol versions don't have; version 0 has none of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Section {
    /// Sent with a configuration: its parts that protocol version 0 doesn't have.
    Configuration(ConfigurationExtras),
    /// Sent with changes of engines: their warm-up times.
    EngineWarmUps(Vec<EngineWarmUp>),
    /// Sent with confirmations, a request for a view, or the reply to it.
    ZoneDrains(DrainSection),
    /// Sent with changes of engines: their software versions. Protocol version 1 doesn't have it either.
    EngineSoftware(Vec<EngineSoftware>),
    /// Sent with confirmations: milliseconds since the store said that it has no replica sets.
    NoReplicaSets(u64),
}

/// Kinds of sections. A number is never reused.
mod section_kinds {
    pub const CONFIGURATION: u16 = 1;
    pub const ENGINE_WARM_UPS: u16 = 2;
    pub const ZONE_DRAINS: u16 = 3;
    pub const ENGINE_SOFTWARE: u16 = 4;
    pub const NO_REPLICA_SETS: u16 = 5;
}

impl Section {
    fn encode(&self) -> Result<(u16, Vec<u8>), MessageError> {
        Ok(match self {
            Self::Configuration(extras) => (section_kinds::CONFIGURATION, to_bytes(extras)?),
            Self::EngineWarmUps(warm_ups) => (section_kinds::ENGINE_WARM_UPS, to_bytes(warm_ups)?),
            Self::ZoneDrains(drains) => (section_kinds::ZONE_DRAINS, to_bytes(drains)?),
            Self::EngineSoftware(versions) => (section_kinds::ENGINE_SOFTWARE, to_bytes(versions)?),
            Self::NoReplicaSets(age_ms) => (section_kinds::NO_REPLICA_SETS, to_bytes(age_ms)?),
        })
    }

    /// `None` for an unknown kind.
    fn decode(raw: RawSection<'_>) -> Result<Option<Self>, MessageError> {
        Ok(Some(match raw.kind {
            section_kinds::CONFIGURATION => Self::Configuration(from_bytes(raw.content)?),
            section_kinds::ENGINE_WARM_UPS => Self::EngineWarmUps(from_bytes(raw.content)?),
            section_kinds::ZONE_DRAINS => Self::ZoneDrains(from_bytes(raw.content)?),
            section_kinds::ENGINE_SOFTWARE => Self::EngineSoftware(from_bytes(raw.content)?),
            section_kinds::NO_REPLICA_SETS => Self::NoReplicaSets(from_bytes(raw.content)?),
            _ => return Ok(None),
        }))
    }
}

/// Kind of a message, with its number in a frame.
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

/// A message between nodes.
pub trait Message: Clone {
    /// Kind in the frame.
    const KIND: MessageKind;
    /// Extension messages of this kind.
    type Extension: Extension;

    /// Number that correlates a request and its reply; 0 for a datagram.
    fn number(&self) -> u64 {
        0
    }

    /// The extension message, if this is one.
    fn extension(&self) -> Option<&Self::Extension>;

    /// The message for the body: this one, or for an extension message one that is harmless to a node of protocol version 0.
    fn body(&self) -> Cow<'_, Self>;

    /// Replaces the decoded body by the extension message that was sent with it.
    fn set_extension(&mut self, extension: Self::Extension);

    /// Parts that are sent in sections, outside the body.
    fn sections(&self) -> Vec<Section> {
        Vec::new()
    }

    /// Adds the parts that were sent in sections by a node of this protocol version.
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
            // A reply to a query that was never sent.
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
        let no_replica_sets = self.no_replica_sets_ms.map(Section::NoReplicaSets);
        drains
            .map(Section::ZoneDrains)
            .into_iter()
            .chain(no_replica_sets)
            .collect()
    }

    fn set_sections(&mut self, sections: Vec<Section>) {
        for section in sections {
            match section {
                Section::ZoneDrains(DrainSection::Known(known)) => self.drains = Some(known),
                Section::NoReplicaSets(age_ms) => self.no_replica_sets_ms = Some(age_ms),
                _ => {}
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
            // A request without side effects, whose reply the sender doesn't take for the one it expects.
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
    /// A section is omitted if the update lacks what it belongs to, or if this node doesn't know the section's parts.
    fn sections(&self) -> Vec<Section> {
        let configuration = self.configuration.as_ref().filter(|_| self.has_extras);
        let extras = configuration.map(|configuration| configuration.extras());
        let engines = self.engines.as_ref().filter(|_| self.has_starts);
        let warm_ups = engines.map(|engines| engines.warm_ups());
        let engines = self.engines.as_ref().filter(|_| self.has_software);
        let software = engines.map(|engines| engines.software_versions());
        let drains = self.drains.as_deref().cloned().map(DrainSection::Told);
        extras
            .map(Section::Configuration)
            .into_iter()
            .chain(warm_ups.map(Section::EngineWarmUps))
            .chain(drains.map(Section::ZoneDrains))
            .chain(software.map(Section::EngineSoftware))
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
                Section::EngineWarmUps(warm_ups) => {
                    self.has_starts = true;
                    if let Some(engines) = &mut self.engines {
                        engines.set_warm_ups(warm_ups);
                    }
                }
                Section::ZoneDrains(section) => {
                    if let DrainSection::Told(snapshot) = section {
                        self.drains = Some(Box::new(snapshot));
                    }
                }
                Section::EngineSoftware(versions) => {
                    self.has_software = true;
                    if let Some(engines) = &mut self.engines {
                        engines.set_software_versions(versions);
                    }
                }
                // It stands beside confirmations.
                Section::NoReplicaSets(_) => {}
            }
        }
    }
}

/// Error of encoding or decoding a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// The message is too large, or an extension message of an unknown kind.
    Encode,
    /// The body or a section can't be decoded.
    Decode,
    /// The frame is invalid.
    Frame(FrameError),
    /// The frame has a message of another kind.
    Kind(u16),
}

impl MessageError {
    /// Whether the bytes were changed in transit, so that the connection can't be used any more.
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
            Self::Decode => write!(formatter, "the message cannot be decoded"),
            Self::Frame(error) => error.fmt(formatter),
            Self::Kind(kind) => write!(formatter, "unexpected message of kind {kind}"),
        }
    }
}

impl std::error::Error for MessageError {}

impl From<FrameError> for MessageError {
    fn from(error: FrameError) -> Self {
        Self::Frame(error)
    }
}

/// Encodes a message as a frame.
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

/// Decodes a message, with or without a frame (protocol version 0).
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

/// Number of the request or reply in a frame whose content can't be decoded; `None` where the frame is invalid.
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
