//! The key by which hosts of one fleet recognise each other.

use {
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::fmt,
};

/// Which side of a connection makes a proof. A proof names its side, so that
/// neither side can answer with a copy of the other's.
#[derive(Clone, Copy, Debug)]
pub enum Side {
    Client,
    Server,
}

/// The fleet's key, for proofs of its possession.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("FleetKey")
    }
}

impl FleetKey {
    /// Uses the key that all hosts of the fleet share.
    ///
    /// # Panics
    ///
    /// Never panics: HMAC takes keys of any length.
    pub fn new(key: &[u8]) -> Self {
        Self(Hmac::new_from_slice(key).expect("HMAC takes keys of any length"))
    }

    /// Proves possession of the key on the connection with these nonces.
    pub fn prove(&self, side: Side, client_nonce: &[u8], server_nonce: &[u8]) -> Vec<u8> {
        self.mac(side, client_nonce, server_nonce)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Checks the other side's proof in constant time.
    pub fn verify(
        &self,
        side: Side,
        client_nonce: &[u8],
        server_nonce: &[u8],
        proof: &[u8],
    ) -> bool {
        self.mac(side, client_nonce, server_nonce)
            .verify_slice(proof)
            .is_ok()
    }

    fn mac(&self, side: Side, client_nonce: &[u8], server_nonce: &[u8]) -> Hmac<Sha256> {
        let label: &[u8] = match side {
            Side::Client => b"persimmoncleat client",
            Side::Server => b"persimmoncleat server",
        };

        [label, client_nonce, server_nonce]
            .iter()
            .fold(self.0.clone(), |mac, part| {
                mac.chain_update((part.len() as u64).to_le_bytes())
                    .chain_update(part)
            })
    }
}
