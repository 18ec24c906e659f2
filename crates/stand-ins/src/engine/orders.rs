//! Fenced orders to load models and adapters or to change role; weights come from the platform's
//! weight store at its rate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::failure::Failure;

/// Body of `POST /orders`.
#[derive(Debug, Clone, Deserialize)]
pub struct OrderRequest {
    /// The dispatcher's token.
    pub fencing_token: u64,
    /// What to do.
    pub order: Order,
}

/// What an engine can be told to do.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model, or another version of it.
    LoadModel {
        /// Its name.
        model: String,
        /// Its version.
        #[serde(default)]
        version: String,
    },
    /// Drop a model.
    UnloadModel {
        /// Its name.
        model: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Its name, by which requests ask for it.
        adapter: String,
    },
    /// Change the role.
    SetRole(Role),
}

/// Which part of a request an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts only: answers of one token.
    Prefill,
    /// Any, but meant for generation on imported contexts.
    Decode,
    /// Any.
    #[default]
    Both,
}

/// How far a model or adapter has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Its weights are being fetched.
    Loading,
    /// It serves requests.
    Loaded,
    /// Its weights could not be fetched.
    Failed,
}

/// A model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadedModel {
    /// Its version, where the order named one.
    pub version: String,
    /// How far it has come.
    pub state: LoadState,
}

/// Role and models, as `GET /state` answers them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct ModelState {
    /// The role.
    pub role: Role,
    /// Models and adapters by name.
    pub models: BTreeMap<String, LoadedModel>,
}

/// Role and models, shared between request threads.
pub struct LoadedModels {
    state: Mutex<ModelState>,
    serves_every_model: bool,
}

impl LoadedModels {
    /// Models loaded from the start; when there are none, every model is served.
    pub fn new(models: &[String]) -> Self {
        let this = Self {
            state: Mutex::default(),
            serves_every_model: models.is_empty(),
        };
        for model in models {
            this.set(model, "", LoadState::Loaded);
        }
        this
    }

    /// Role and models now.
    pub fn state(&self) -> ModelState {
        let state = self.state.lock().expect("no holder of this lock panics");
        state.clone()
    }

    /// Whether a request for `model` with this limit of tokens can be served.
    pub fn check(&self, model: &str, max_tokens: Option<u64>) -> Result<(), Failure> {
        let state = self.state.lock().expect("no holder of this lock panics");
        let loaded = state.models.get(model);
        let is_loaded = loaded.is_some_and(|loaded| loaded.state == LoadState::Loaded);
        if !is_loaded && !self.serves_every_model {
            return Err(Failure::ModelNotLoaded);
        }
        if state.role == Role::Prefill && max_tokens != Some(1) {
            return Err(Failure::WrongRole);
        }
        Ok(())
    }

    /// Carries out an order; a load goes on after the answer.
    pub fn carry_out(&self, order: &Order) -> Option<WeightsToFetch> {
        match order {
            Order::LoadModel { model, version } => Some(self.begin_load(model, version)),
            Order::LoadAdapter { adapter } => Some(self.begin_load(adapter, "")),
            Order::UnloadModel { model } => {
                let mut state = self.state.lock().expect("no holder of this lock panics");
                state.models.remove(model);
                None
            }
            Order::SetRole(role) => {
                let mut state = self.state.lock().expect("no holder of this lock panics");
                state.role = *role;
                None
            }
        }
    }

    fn begin_load(&self, model: &str, version: &str) -> WeightsToFetch {
        self.set(model, version, LoadState::Loading);
        WeightsToFetch {
            model: model.to_owned(),
            version: version.to_owned(),
        }
    }

    /// Fetches weights and notes how that ended.
    pub fn fetch(&self, weights: &WeightsToFetch, platform: Option<SocketAddr>) {
        let state = match platform.map(|platform| weights.fetch(platform)) {
            None | Some(Ok(())) => LoadState::Loaded,
            Some(Err(_)) => LoadState::Failed,
        };
        self.set(&weights.model, &weights.version, state);
    }

    fn set(&self, model: &str, version: &str, load_state: LoadState) {
        let mut state = self.state.lock().expect("no holder of this lock panics");
        let loaded = LoadedModel {
            version: version.to_owned(),
            state: load_state,
        };
        state.models.insert(model.to_owned(), loaded);
    }
}

/// Weights that an order needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsToFetch {
    model: String,
    version: String,
}

impl WeightsToFetch {
    fn fetch(&self, platform: SocketAddr) -> Result<(), Failure> {
        let url = format!("http://{platform}/weights/{}", self.model);
        let response = ureq::post(&url).send_empty();
        response.map(drop).map_err(|_| Failure::Unavailable)
    }
}
