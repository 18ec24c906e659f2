//! The client and the output of one command.

use std::fs;
use std::time::Duration;

use ridgeworks_api::ConnectCode;
use ridgeworks_api::client::{ClientError, ClientSettings, OperatorClient};
use ridgeworks_api::v1;

use crate::arguments::{ConnectionArguments, OutputFormat};
use crate::error::CliError;
use crate::output::Output;

const DEFAULT_SCHEME: &str = "http://";

/// The client and the output of one command.
pub struct Session {
    /// The client.
    pub client: OperatorClient,
    /// The output.
    pub output: Output,
}

impl Session {
    /// A session from the arguments; opens no connection yet.
    pub fn new(connection: ConnectionArguments, format: OutputFormat) -> Result<Self, CliError> {
        if connection.servers.is_empty() {
            return Err(CliError::NoServer);
        }
        let token = read_token(&connection)?;
        let servers = connection.servers.iter().map(|server| base_url(server));
        let mut settings = ClientSettings::new(servers.collect(), token);
        settings.response_timeout = Duration::from_millis(connection.timeout_ms);
        Ok(Self {
            client: OperatorClient::new(settings),
            output: Output::new(format),
        })
    }

    /// An object, or `None` if there is none.
    pub fn find(&self, kind: v1::ObjectKind, name: &str) -> Result<Option<v1::Object>, CliError> {
        let request = v1::GetRequest {
            kind: kind.into(),
            name: name.to_owned(),
        };
        match self.client.get(&request) {
            Ok(answer) => answer.object.ok_or(CliError::IncompleteAnswer).map(Some),
            Err(ClientError::Refused(body)) if body.code == ConnectCode::NotFound => Ok(None),
            Err(error) => Err(CliError::Read(error)),
        }
    }
}

/// Version in the metadata of an object.
pub fn version_of(object: &v1::Object) -> u64 {
    object
        .metadata
        .as_ref()
        .map_or(0, |metadata| metadata.version)
}

/// A failed change, with the identifier under which it can be repeated.
pub fn change_error(operation_id: &str) -> impl Fn(ClientError) -> CliError {
    move |error| CliError::Change {
        operation_id: operation_id.to_owned(),
        error,
    }
}

fn read_token(connection: &ConnectionArguments) -> Result<String, CliError> {
    match (&connection.token_file, &connection.token) {
        (Some(path), _) => fs::read_to_string(path)
            .map(|token| token.trim().to_owned())
            .map_err(|error| CliError::UnreadableFile {
                path: path.clone(),
                kind: error.kind(),
            }),
        (None, Some(token)) => Ok(token.clone()),
        (None, None) => Err(CliError::NoToken),
    }
}

fn base_url(server: &str) -> String {
    if server.contains("://") {
        server.to_owned()
    } else {
        format!("{DEFAULT_SCHEME}{server}")
    }
}
