//! Errors of the transport layer.

use {snafu::Snafu, std::io};

/// Failure to connect, listen, call another process or read a file.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    #[snafu(display("cannot connect to {address}: {message}"))]
    Connect { address: String, message: String },
    #[snafu(display("cannot listen on {address}: {message}"))]
    Listen { address: String, message: String },
    #[snafu(display("connection to {address} broke: {message}"))]
    Broken { address: String, message: String },
    #[snafu(display("no answer from {address} within {millis} ms"))]
    Timeout { address: String, millis: u64 },
    #[snafu(display("{address} answered {status}: {body}"))]
    Status {
        address: String,
        body: String,
        status: u16,
    },
    #[snafu(display("cannot read {path}: {source}"))]
    Read { path: String, source: io::Error },
}
