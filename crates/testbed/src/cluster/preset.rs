//! What a deployment is made of: zones, nodes, back ends and the partners' configuration.
//!
//! Presets are TOML files of this crate. They are the only place that names the users' own services.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use ridgeworks_api::v1;
use serde::Deserialize;
use serde_json::Value;

const OBJECTS: &str = include_str!("../../presets/objects.toml");
const KALAHARI: &str = include_str!("../../presets/kalahari.toml");
const KALAHARI_SMALL: &str = include_str!("../../presets/kalahari-small.toml");
const SERRA_BRANCA: &str = include_str!("../../presets/serra-branca.toml");
const SERRA_BRANCA_SMALL: &str = include_str!("../../presets/serra-branca-small.toml");

/// Name of a preset that comes with the testbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum PresetName {
    /// Three zones, mostly placement engines.
    Kalahari,
    /// The same zones with few engines.
    KalahariSmall,
    /// Four zones, mostly map engines.
    SerraBranca,
    /// The same zones with few nodes and engines.
    SerraBrancaSmall,
}

impl PresetName {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Kalahari,
        Self::KalahariSmall,
        Self::SerraBranca,
        Self::SerraBrancaSmall,
    ];

    /// The preset of this name.
    ///
    /// # Errors
    /// A file of the crate that cannot be read; a test reads them all.
    pub fn load(self) -> Result<Preset, PresetError> {
        let text = match self {
            Self::Kalahari => KALAHARI,
            Self::KalahariSmall => KALAHARI_SMALL,
            Self::SerraBranca => SERRA_BRANCA,
            Self::SerraBrancaSmall => SERRA_BRANCA_SMALL,
        };
        text.parse()
    }
}

/// A deployment to start.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Region of every zone that [`Self::zone_regions`] does not name.
    pub region: String,
    /// Regions of zones.
    #[serde(default)]
    pub zone_regions: BTreeMap<String, String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// One-way delay between nodes of different zones, in microseconds.
    pub one_way_delay_us: u64,
    /// Nodes in each zone.
    pub nodes_per_zone: usize,
    /// How many of them have a disk.
    pub disks_per_zone: usize,
    /// How many of the nodes with a disk vote on the configuration; an odd number.
    pub configuration_voters: usize,
    /// The partners that share the pool.
    pub partners: Vec<PartnerPreset>,
    /// The back ends.
    pub backends: Vec<BackendPreset>,
    /// Classes, services and programs of the partners.
    #[serde(skip)]
    pub objects: Vec<v1::Object>,
}

/// A partner of the pool.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerPreset {
    /// Its name.
    pub name: String,
    /// Weight of latency against wasted cache, 0 to 100.
    pub latency_weight: u32,
    /// Its part of the pool, in thousandths.
    pub permille: u32,
}

/// Back ends of one service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendPreset {
    /// The service.
    pub service: String,
    /// What runs.
    pub kind: BackendKind,
    /// How many; they are spread over the zones.
    pub count: usize,
    /// Most calls that each takes at a time.
    pub slots: u32,
    /// Speed and size of each engine.
    #[serde(default)]
    pub engine: EnginePreset,
    /// Price and latency of each tool.
    #[serde(default)]
    pub tool: ToolPreset,
}

/// What a back end is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine.
    Model,
    /// A tool or notice service.
    Tool,
}

/// Speed and size of an engine stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EnginePreset {
    /// Time of an empty step, in microseconds.
    pub step_base_us: u64,
    /// Time that each decoding sequence adds, in microseconds.
    pub token_us: u64,
    /// Time that each prompt token computed adds, in microseconds.
    pub prefill_us_per_token: u64,
    /// Memory in blocks of 16 tokens.
    pub blocks: u64,
    /// Mean length of an answer, in tokens.
    pub answer_tokens: usize,
}

impl Default for EnginePreset {
    fn default() -> Self {
        Self {
            step_base_us: 8_000,
            token_us: 50,
            prefill_us_per_token: 50,
            blocks: 8_192,
            answer_tokens: 64,
        }
    }
}

/// Price and latency of a tool stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ToolPreset {
    /// Price of a call; the same as in the service's configuration.
    pub price: u64,
    /// Shortest time of a call, in milliseconds.
    pub latency_ms: u64,
    /// Most that a call takes beyond that, in milliseconds.
    pub latency_jitter_ms: u64,
}

impl Default for ToolPreset {
    fn default() -> Self {
        Self {
            price: 1,
            latency_ms: 20,
            latency_jitter_ms: 0,
        }
    }
}

/// Why a preset cannot be used.
#[derive(Debug)]
pub enum PresetError {
    /// The text is no TOML of the expected shape.
    Toml(toml::de::Error),
    /// The configuration objects are not in the schema's form.
    Objects(serde_json::Error),
    /// A number does not fit the others.
    Contradictory(PresetField),
}

/// A field of a preset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresetField {
    /// [`Preset::zones`]
    Zones,
    /// [`Preset::disks_per_zone`]
    DisksPerZone,
    /// [`Preset::configuration_voters`]
    ConfigurationVoters,
    /// [`PartnerPreset::permille`]
    Permille,
    /// [`BackendPreset::service`]
    Service,
}

impl fmt::Display for PresetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Toml(error) => write!(formatter, "{error}"),
            Self::Objects(error) => write!(formatter, "configuration objects: {error}"),
            Self::Contradictory(field) => write!(formatter, "{field:?} does not fit the preset"),
        }
    }
}

impl std::error::Error for PresetError {}

impl FromStr for Preset {
    type Err = PresetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut preset: Self = toml::from_str(text).map_err(PresetError::Toml)?;
        preset.objects = read_objects(OBJECTS)?;
        preset.check()?;
        Ok(preset)
    }
}

fn read_objects(text: &str) -> Result<Vec<v1::Object>, PresetError> {
    let value: Value = toml::from_str(text).map_err(PresetError::Toml)?;
    let list: v1::ListResponse = serde_json::from_value(value).map_err(PresetError::Objects)?;
    Ok(list.objects)
}

impl Preset {
    /// Number of all nodes.
    pub fn nodes(&self) -> usize {
        self.zones.len() * self.nodes_per_zone
    }

    /// Region of a zone.
    pub fn region_of(&self, zone: &str) -> &str {
        self.zone_regions.get(zone).unwrap_or(&self.region)
    }

    /// The first program that may use a service.
    pub fn program_with(&self, service: &str) -> Option<&v1::Metadata> {
        let mut objects = self.objects.iter();
        let found = objects.find(|object| {
            let Some(v1::object::Specification::Program(program)) = &object.specification else {
                return false;
            };
            program.services.iter().any(|name| name == service)
        })?;
        found.metadata.as_ref()
    }

    fn check(&self) -> Result<(), PresetError> {
        let fail = |field| Err(PresetError::Contradictory(field));
        if self.zones.is_empty() {
            return fail(PresetField::Zones);
        }
        if self.disks_per_zone > self.nodes_per_zone {
            return fail(PresetField::DisksPerZone);
        }
        let voters = self.configuration_voters;
        if voters.is_multiple_of(2) || voters > self.zones.len() * self.disks_per_zone {
            return fail(PresetField::ConfigurationVoters);
        }
        let sum: u32 = self.partners.iter().map(|partner| partner.permille).sum();
        if sum != 1_000 {
            return fail(PresetField::Permille);
        }
        if !self
            .backends
            .iter()
            .all(|backend| self.has_service(&backend.service))
        {
            return fail(PresetField::Service);
        }
        Ok(())
    }

    fn has_service(&self, name: &str) -> bool {
        self.objects.iter().any(|object| {
            let is_service = matches!(
                object.specification,
                Some(v1::object::Specification::Service(_))
            );
            let metadata = object.metadata.as_ref();
            is_service && metadata.is_some_and(|metadata| metadata.name == name)
        })
    }
}
