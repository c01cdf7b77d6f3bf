//! Resolution of the addresses in request URIs.

use ureq::{
    Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::NextTimeout,
    },
};

/// A resolver for URIs that contain an IP address and a port. ureq's default
/// resolver starts a thread for every call with a timeout, even for an IP
/// address on a pooled connection.
#[derive(Debug)]
pub struct LiteralResolver;

impl Resolver for LiteralResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let address = uri
            .authority()
            .and_then(|authority| authority.as_str().parse().ok())
            .ok_or(Error::HostNotFound)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
