//! Issues, signs and verifies the tickets of requests that are not repeatable.

use {
    crate::{
        protocol::{
            self,
            caller::TicketBody,
            error::JsonSnafu,
            hex,
            ticket::{Home, Ticket, Witness},
        },
        state::{
            clock::Time,
            fleet::member::{Member, Phase},
            id,
            view::View,
        },
    },
    hmac::{Hmac, Mac},
    rand::seq::IndexedRandom,
    sha2::Sha256,
    snafu::ResultExt,
    std::{fmt, time::Duration},
};

/// Number of hosts, those with the most recent messages, among which a witness
/// is chosen at random. A small number keeps the stamp recent in a large fleet,
/// where a host receives a message from most others only about once a minute.
const WITNESS_CANDIDATES: usize = 16;

/// Issues and verifies tickets with the fleet's key.
#[derive(Clone)]
pub struct Tickets(Hmac<Sha256>);

impl fmt::Debug for Tickets {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Tickets")
    }
}

impl Tickets {
    /// Creates an issuer with the key that all hosts of the fleet share.
    ///
    /// # Panics
    ///
    /// Never panics: HMAC takes keys of any length.
    pub fn new(fleet_key: &[u8]) -> Self {
        Self(Hmac::new_from_slice(fleet_key).expect("HMAC takes keys of any length"))
    }

    /// Issues a ticket with this host as its home.
    ///
    /// The witness is chosen among the live peers with the most recent messages,
    /// outside the home's failure domain if there are any.
    pub fn issue(&self, view: &View, now: Time, body: &TicketBody, deadline: Duration) -> Ticket {
        let local = &view.local;

        Ticket {
            body_sha256: body.body_sha256.clone(),
            class: body.class.clone(),
            deadline,
            home: Home {
                address: local.caller_address,
                host: local.host.clone(),
                incarnation: local.incarnation,
            },
            issued: now,
            pipeline: body.pipeline.clone(),
            request: new_request_id(local),
            team: body.team.clone(),
            witness: choose_witness(view),
        }
    }

    /// Returns the ticket as signed text.
    ///
    /// # Panics
    ///
    /// Never panics: every ticket can be written as JSON, since it has no maps
    /// with keys other than text.
    pub fn sign(&self, ticket: &Ticket) -> String {
        let json = serde_json::to_vec(ticket).expect("a ticket is valid JSON");
        let mac = self.0.clone().chain_update(&json).finalize().into_bytes();
        format!("{}.{}", hex::encode(&json), hex::encode(&mac))
    }

    /// Parses a signed ticket. The signature is compared in constant time.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet's key did not sign the text, or if it is not
    /// a ticket.
    pub fn verify(&self, text: &str) -> Result<Ticket, protocol::Error> {
        let json = self
            .verified_json(text)
            .ok_or_else(|| protocol::Error::Field {
                expected: "a ticket signed by this fleet".into(),
                field: "Persimmon-Ticket".into(),
                value: text.chars().take(64).collect(),
            })?;

        serde_json::from_slice(&json).context(JsonSnafu { what: "the ticket" })
    }

    /// Returns the JSON part of the text if its signature is valid.
    fn verified_json(&self, text: &str) -> Option<Vec<u8>> {
        let (json, mac) = text.split_once('.')?;
        let (json, mac) = (hex::decode(json)?, hex::decode(mac)?);
        self.0.clone().chain_update(&json).verify_slice(&mac).ok()?;
        Some(json)
    }
}

/// Returns a new id that names the home, its incarnation and a random number.
fn new_request_id(local: &Member) -> id::Request {
    let Member {
        host, incarnation, ..
    } = local;

    format!("{host}.{incarnation}.{:032x}", rand::random::<u128>()).into()
}

fn choose_witness(view: &View) -> Option<Witness> {
    let alive = || {
        view.members
            .iter()
            .filter(|member| member.phase == Phase::Alive)
    };
    let mut candidates = alive()
        .filter(|member| member.domain != view.local.domain)
        .take(WITNESS_CANDIDATES)
        .collect::<Vec<&Member>>();

    if candidates.is_empty() {
        candidates = alive().take(WITNESS_CANDIDATES).collect();
    }

    candidates.choose(&mut rand::rng()).map(|member| Witness {
        address: member.peer_address,
        host: member.host.clone(),
        incarnation: member.incarnation,
        stamp: member.clock,
    })
}
