//! Errors of starting and running stand-ins.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr},
};

/// Reason why a stand-in cannot start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[snafu(display("cannot register at the host list {url}: {source}"))]
    Register { source: ureq::Error, url: String },
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal { source: io::Error },
}
