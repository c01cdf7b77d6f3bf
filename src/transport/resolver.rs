//! Addresses in the URIs of calls.

use ureq::{
    Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::NextTimeout,
    },
};

/// Reads the IP address and port in a URI. The client's own resolver starts a
/// thread for every call that has a time limit, even for an IP address on a
/// kept connection.
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
