//! Methods of the service `ridgeworks.v1.Operator`, with their requests and responses.

use crate::connect::{self, HttpResponse, RequestHead};
use crate::connect_error::ConnectError;
use crate::v1;

/// Path prefix of all methods.
pub const SERVICE_PATH: &str = "/ridgeworks.v1.Operator/";

macro_rules! operator_methods {
    ($($(#[$documentation:meta])* $method:ident: $request:ident => $response:ident;)*) => {
        /// A method of the service.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum OperatorMethod {
            $($(#[$documentation])* $method,)*
        }

        impl OperatorMethod {
            /// All methods.
            pub const ALL: &'static [Self] = &[$(Self::$method),*];

            /// Returns the method's name in the schema.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$method => stringify!($method),)*
                }
            }
        }

        /// A request of any method.
        #[derive(Debug, Clone, PartialEq)]
        pub enum OperatorRequest {
            $($(#[$documentation])* $method(v1::$request),)*
        }

        impl OperatorRequest {
            /// Decodes the request of a method.
            pub fn decode(
                method: OperatorMethod,
                head: &RequestHead<'_>,
                body: &[u8],
            ) -> Result<Self, ConnectError> {
                match method {
                    $(OperatorMethod::$method => head.decode(body).map(Self::$method),)*
                }
            }

            /// Returns the method of the request.
            pub fn method(&self) -> OperatorMethod {
                match self {
                    $(Self::$method(_) => OperatorMethod::$method,)*
                }
            }
        }

        /// A response of any method.
        #[derive(Debug, Clone, PartialEq)]
        pub enum OperatorResponse {
            $($(#[$documentation])* $method(v1::$response),)*
        }

        impl OperatorResponse {
            /// Encodes the response in the format of the request.
            pub fn encode(&self, content_type: &str) -> Result<HttpResponse, ConnectError> {
                match self {
                    $(Self::$method(message) => connect::encode_response(content_type, message),)*
                }
            }
        }
    };
}

operator_methods! {
    /// Creates or replaces an object.
    Apply: ApplyRequest => ApplyResponse;
    /// Reads one object.
    Get: GetRequest => GetResponse;
    /// Reads all objects of one kind.
    List: ListRequest => ListResponse;
    /// Deletes an object.
    Delete: DeleteRequest => DeleteResponse;
    /// Proposes a new pool split.
    ProposeShares: ProposeSharesRequest => ProposeSharesResponse;
    /// Consents to the open proposal.
    ConsentShares: ConsentSharesRequest => ConsentSharesResponse;
    /// Waits for changes of the configuration.
    WatchChanges: WatchChangesRequest => WatchChangesResponse;
    /// Reads the state of the system.
    Status: StatusRequest => StatusResponse;
    /// Reads the state of the node that receives the request.
    NodeStatus: NodeStatusRequest => NodeStatusResponse;
    /// Starts the planned stop of a node.
    Drain: DrainRequest => DrainResponse;
    /// Reads a run and its calls.
    GetRun: GetRunRequest => GetRunResponse;
    /// Reads the runs of the partner.
    ListRuns: ListRunsRequest => ListRunsResponse;
}

impl OperatorMethod {
    /// Returns the method for the path of a request, given without the query.
    pub fn from_path(path: &str) -> Result<Self, ConnectError> {
        let name = path
            .strip_prefix(SERVICE_PATH)
            .ok_or(ConnectError::UnknownMethod)?;
        Self::ALL
            .iter()
            .copied()
            .find(|method| method.name() == name)
            .ok_or(ConnectError::UnknownMethod)
    }

    /// Returns the path of the method.
    pub fn path(self) -> String {
        format!("{SERVICE_PATH}{}", self.name())
    }
}
