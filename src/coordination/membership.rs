//! The part of the control thread that keeps the view of the other hosts.

use {
    crate::{
        protocol::hosts::{ENTRY_POOL, Host},
        state::{
            clock::Time, endpoint, fleet::gossip::Message,
            fleet::membership::Membership as Machine, fleet::membership_action::Action,
            fleet::membership_event::Event as MachineEvent, view::View,
        },
        transport::{self, links::Links},
    },
    std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::oneshot::Sender,
};

/// Longest time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for the answer of a host that probes another one.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time between two copies of the members into the view while nobody comes or
/// goes. A copy takes time in proportion to the fleet, and answers arrive many
/// times a second.
const REFRESH: Duration = Duration::from_millis(250);

/// An event for this part.
#[derive(Debug)]
pub enum Event {
    /// A probed host answered.
    Answered { message: Message, probe: u64 },
    /// A probe had no answer.
    Failed { probe: u64 },
    /// The host list was read.
    Hosts(Vec<Host>),
    /// This host takes no new work from now on.
    Leave,
    /// The peer addresses of the hosts in the store.
    Listed(Vec<SocketAddr>),
    /// A peer probes this host.
    Probed {
        message: Message,
        reply: Sender<Message>,
    },
    /// A peer asks whether this host reaches another one.
    ProbeFor {
        reply: Sender<bool>,
        target: SocketAddr,
    },
    /// A host that was asked to probe another one answered, or failed to.
    Relayed { probe: u64, reached: bool },
}

/// Takes the events that answers to probes cause.
pub type Deliver = Arc<dyn Fn(Event) + Send + Sync>;

/// How probes are sent and their answers come back.
struct Outlet {
    deliver: Deliver,
    links: Links,
}

impl fmt::Debug for Outlet {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Outlet")
    }
}

/// The state of this part. The default is that of a host without links, which
/// knows no peers.
#[derive(Debug, Default)]
pub struct Membership {
    actions: Vec<Action>,
    machine: Machine,
    outlet: Option<Outlet>,
    published: Time,
    /// Peers that wait to hear whether this host reaches another one.
    relays: HashMap<u64, Sender<bool>>,
    tokens: u64,
}

impl Membership {
    /// Builds the part. `seeds` are the peer addresses in the settings;
    /// answers to probes come back through `deliver`.
    pub fn new(
        seeds: impl IntoIterator<Item = SocketAddr>,
        links: Links,
        deliver: Deliver,
    ) -> Self {
        Self {
            machine: Machine::new(seeds, rand::random()),
            outlet: Some(Outlet { deliver, links }),
            ..Self::default()
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, view: &mut View) {
        match event {
            Event::Answered { message, probe } => {
                self.step(now, MachineEvent::Answered { message, probe }, view);
            }
            Event::Failed { probe } => self.step(now, MachineEvent::Failed { probe }, view),
            Event::Hosts(hosts) => {
                let addresses = entry_addresses(&hosts);
                self.step(now, MachineEvent::Listed(addresses), view);
            }
            Event::Listed(addresses) => self.step(now, MachineEvent::Listed(addresses), view),
            Event::Leave => self.step(now, MachineEvent::Leave, view),
            Event::Probed { message, reply } => {
                let answer = self.machine.handle_probe(now, &mut view.local, message);
                let _ = reply.send(answer);
                self.publish(view);
            }
            Event::ProbeFor { reply, target } => {
                let token = self.tokens;
                self.tokens += 1;
                self.relays.insert(token, reply);
                self.step(now, MachineEvent::ProbeFor { target, token }, view);
            }
            Event::Relayed { probe, reached } => {
                self.step(now, MachineEvent::Relayed { probe, reached }, view);
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        self.step(now, MachineEvent::Tick, view);

        if self.machine.take_changed() || now.since(self.published) >= REFRESH {
            self.published = now;
            view.members = Arc::new(self.machine.members());
            view.had_peers |= !view.members.is_empty();
        }
    }

    fn step(&mut self, now: Time, event: MachineEvent, view: &mut View) {
        self.machine
            .handle(now, &mut view.local, event, &mut self.actions);

        for action in std::mem::take(&mut self.actions) {
            self.act(action);
        }

        self.publish(view);
    }

    fn publish(&self, view: &mut View) {
        view.last_peer_answer = self.machine.last_peer_answer();
    }

    fn act(&mut self, action: Action) {
        match (action, &self.outlet) {
            (Action::Reached { reached, token }, _) => {
                if let Some(reply) = self.relays.remove(&token) {
                    let _ = reply.send(reached);
                }
            }
            (_, None) => {}
            (
                Action::Probe {
                    address,
                    message,
                    probe,
                },
                Some(Outlet { deliver, links }),
            ) => {
                let deliver = Arc::clone(deliver);
                links.probe(address, message, PROBE_TIMEOUT, move |answer| {
                    deliver(answered(probe, answer));
                });
            }
            (
                Action::ProbeFor {
                    address,
                    probe,
                    target,
                },
                Some(Outlet { deliver, links }),
            ) => {
                let deliver = Arc::clone(deliver);
                links.probe_for(address, target, RELAY_TIMEOUT, move |answer| {
                    let reached = answer.unwrap_or(false);
                    deliver(Event::Relayed { probe, reached });
                });
            }
        }
    }
}

fn answered(probe: u64, answer: Result<Message, transport::Error>) -> Event {
    match answer {
        Ok(message) => Event::Answered { message, probe },
        Err(error) => {
            log::debug!("probe failed: {error}");
            Event::Failed { probe }
        }
    }
}

fn entry_addresses(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts
        .iter()
        .filter(|host| host.pool.as_str() == ENTRY_POOL && host.phase == endpoint::Phase::Live)
        .map(|host| host.address)
        .collect()
}
