//! State that the threads of one host share to serve callers.

use {
    crate::{
        coordination::{
            control, observer::Observer, published_view::PublishedView, records::Records,
            scheduling, tickets::Tickets,
        },
        protocol::{daemon_file::Limits, digest, secret::Secret},
        state::{
            claims::refusal::{Reason, Refusal},
            fleet::member::Phase,
            id,
        },
        transport::{boot_clock, client::Client, links::Links, object_api::CallCounters},
    },
    std::{
        net::SocketAddr,
        sync::mpsc::{self, Sender},
        time::Duration,
    },
};

/// Time after which this host stops accepting requests if neither the object
/// API nor any peer has answered.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a query to the control thread.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Shared state and clients of the threads that serve requests.
#[derive(Debug)]
pub struct Gateway {
    /// Statistics of the calls to the object API.
    pub calls: CallCounters,
    pub client: Client,
    pub control: Sender<control::Event>,
    pub limits: Limits,
    pub links: Links,
    pub observer: Observer,
    pub operator: Secret,
    pub published: PublishedView,
    pub records: Records,
    pub tickets: Tickets,
}

impl Gateway {
    /// Sends a query to the scheduling component and returns its answer, or
    /// `None` if the control thread has stopped or does not answer in time.
    pub fn query_scheduler<T>(
        &self,
        event: impl FnOnce(Sender<T>) -> scheduling::Event,
    ) -> Option<T> {
        let (sender, receiver) = mpsc::channel();
        let event = control::Event::Scheduling(event(sender));
        self.control.send(event).ok()?;
        receiver.recv_timeout(CONTROL_TIMEOUT).ok()
    }

    /// Returns the address of an endpoint, or `None` if this host does not use
    /// it.
    pub fn endpoint(&self, endpoint: &id::Endpoint) -> Option<SocketAddr> {
        let view = self.published.get();
        let listed = view
            .endpoints
            .iter()
            .find(|listed| listed.endpoint == *endpoint)?;
        Some(listed.address)
    }

    /// Returns why this host accepts no new work, or `None` if it does.
    pub fn unready(&self) -> Option<Refusal> {
        let view = self.published.get();
        let now = boot_clock::now();
        let in_contact = [view.last_peer_answer, view.last_store_answer]
            .into_iter()
            .flatten()
            .any(|answered_at| now.since(answered_at) < CONTACT_TIMEOUT);

        match view.local.phase {
            Phase::Leaving => Some((Reason::Leaving, "the host is stopping")),
            Phase::Gone => Some((Reason::NotReady, "the peers declared this host gone")),
            Phase::Alive | Phase::Suspect if view.policy.version == 0 => {
                Some((Reason::NotReady, "no settings are in force"))
            }
            Phase::Alive | Phase::Suspect if !in_contact => Some((
                Reason::NotReady,
                "neither the object API nor a peer has answered for 5 s",
            )),
            Phase::Alive | Phase::Suspect => None,
        }
        .map(|(reason, detail)| Refusal::not_run(reason, detail))
    }

    /// Returns the address of another host that accepts new work. Prefers this
    /// host's domain, then the host with the fewest outstanding requests.
    pub fn alternative_address(&self) -> Option<SocketAddr> {
        let view = self.published.get();
        view.members
            .iter()
            .filter(|member| member.phase == Phase::Alive)
            .min_by_key(|member| (member.domain != view.local.domain, member.outstanding))
            .map(|member| member.caller_address)
    }

    /// Returns a new request id with this host as its home.
    pub fn request_id(&self) -> id::Request {
        let view = self.published.get();
        let (host, incarnation) = (&view.local.host, view.local.incarnation);
        format!("{host}.{incarnation}.{:032x}", rand::random::<u128>()).into()
    }

    /// Returns whether `key` is the operators' key. The comparison takes the
    /// same time for every wrong key of any length.
    pub fn is_operator(&self, key: &str) -> bool {
        digest::equal(
            &digest::sha256(key.as_bytes()),
            &digest::sha256(self.operator.as_bytes()),
        )
    }
}
