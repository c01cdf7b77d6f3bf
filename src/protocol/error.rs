//! Errors of the protocol layer.

use {crate::transport, snafu::Snafu};

/// A message could not be exchanged or decoded.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    #[snafu(display("{what} is not valid: {source}"))]
    Json {
        source: serde_json::Error,
        what: String,
    },
    #[snafu(display("{field} is {value:?}, expected {expected}"))]
    Field {
        expected: String,
        field: String,
        value: String,
    },
    #[snafu(transparent)]
    Transport { source: transport::Error },
}
