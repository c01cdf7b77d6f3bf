//! The shared key with which the hosts of a fleet authenticate each other.

use {
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::fmt,
};

/// The side of a connection that a proof is for. The side is part of the proof,
/// so that neither side can replay the other's proof.
#[derive(Clone, Copy, Debug)]
pub enum Side {
    Client,
    Server,
}

/// The fleet key, as the HMAC state for proofs of possession.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("FleetKey")
    }
}

impl FleetKey {
    /// Builds the HMAC state from the key that all hosts of the fleet share.
    ///
    /// # Panics
    ///
    /// Never panics: HMAC takes keys of any length.
    pub fn new(key: &[u8]) -> Self {
        Self(Hmac::new_from_slice(key).expect("HMAC takes keys of any length"))
    }

    /// Returns the proof of possession of the key for a connection with these
    /// nonces.
    pub fn prove(&self, side: Side, client_nonce: &[u8], server_nonce: &[u8]) -> Vec<u8> {
        self.mac(side, client_nonce, server_nonce)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Verifies the other side's proof in constant time.
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
