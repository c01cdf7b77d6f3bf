//! Errors of the coordination layer.

use {crate::protocol, snafu::Snafu, std::io};

/// Failure to start or to run the components of this host.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    #[snafu(display("cannot listen for peers: {source}"))]
    Listen { source: io::Error },
    #[snafu(transparent)]
    Protocol { source: protocol::Error },
    #[snafu(display("cannot handle signals: {source}"))]
    Signals { source: io::Error },
    #[snafu(display("the control thread has stopped"))]
    Stopped,
    #[snafu(display("cannot start a thread: {source}"))]
    Thread { source: io::Error },
}
