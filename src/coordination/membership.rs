//! Tracks the other hosts of the fleet in the control thread: drives the
//! membership state machine and sends its probes.

use {
    crate::{
        protocol::hosts::{ENTRY_POOL, Host},
        state::{
            clock::Time,
            endpoint,
            fleet::gossip::{Message, News},
            fleet::membership::Membership as Machine,
            fleet::membership_action::Action,
            fleet::membership_event::Event as MachineEvent,
            serving::{
                crashes::{Crash, Crashes, Findings, Suspects},
                quarantine::{Quarantine, Status},
            },
            view::View,
        },
        transport::{self, links::Links},
    },
    std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::oneshot::Sender,
};

/// Timeout of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an indirect probe, in which a peer probes the target.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval at which the members are copied into the view while no host joins
/// or leaves. The cost of a copy is proportional to the size of the fleet, and
/// answers arrive many times a second.
const VIEW_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// An event that concerns the membership.
#[derive(Debug)]
pub enum Event {
    /// A probed host answered.
    Answered { message: Message, probe: u64 },
    /// A probe failed or timed out.
    Failed { probe: u64 },
    /// The host list was read.
    Hosts(Vec<Host>),
    /// This host starts to leave and accepts no new work.
    Leave,
    /// The peer addresses of the hosts were read from the store.
    Listed(Vec<SocketAddr>),
    /// A peer probed this host.
    Probed {
        message: Message,
        reply: Sender<Message>,
    },
    /// A peer requests an indirect probe of `target` from this host.
    ProbeFor {
        reply: Sender<bool>,
        target: SocketAddr,
    },
    /// An indirect probe that this host requested has completed or failed.
    Relayed { probe: u64, reached: bool },
}

/// Callback for the events that answers to probes cause.
pub type Deliver = Arc<dyn Fn(Event) + Send + Sync>;

/// Sends probes and delivers their answers.
struct ProbeSender {
    deliver: Deliver,
    links: Links,
}

impl fmt::Debug for ProbeSender {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("ProbeSender")
    }
}

/// The membership of this host. The default has no links and no peers.
#[derive(Debug, Default)]
pub struct Membership {
    actions: Vec<Action>,
    /// The requests under which endpoints have crashed, of which probes and their answers
    /// tell.
    crashes: Crashes,
    /// Whether `crashes` or `harmful_requests` have changed.
    crashes_changed: bool,
    /// The requests that crash endpoints, by their fingerprints.
    harmful_requests: Quarantine,
    machine: Machine,
    probe_sender: Option<ProbeSender>,
    /// The parts of prompts in quarantine, which probes and their answers tell.
    quarantine: Quarantine,
    quarantine_changed: bool,
    last_refresh: Time,
    /// Reply channels for the indirect probes that peers requested, by token.
    relay_replies: HashMap<u64, Sender<bool>>,
    next_token: u64,
}

impl Membership {
    /// Creates a membership without peers. `seeds` are the peer addresses in
    /// the settings; `deliver` receives the answers to probes.
    pub fn new(
        seeds: impl IntoIterator<Item = SocketAddr>,
        links: Links,
        deliver: Deliver,
    ) -> Self {
        Self {
            machine: Machine::new(seeds, rand::random()),
            probe_sender: Some(ProbeSender { deliver, links }),
            ..Self::default()
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, view: &mut View) {
        match event {
            Event::Answered { message, probe } => {
                self.merge_news(now, &message);
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
                self.merge_news(now, &message);
                let mut answer = self.machine.handle_probe(now, &mut view.local, message);
                self.add_news(now, &mut answer);
                let _ = reply.send(answer);
                self.publish_last_answer(view);
            }
            Event::ProbeFor { reply, target } => {
                let token = self.next_token;
                self.next_token += 1;
                self.relay_replies.insert(token, reply);
                self.step(now, MachineEvent::ProbeFor { target, token }, view);
            }
            Event::Relayed { probe, reached } => {
                self.step(now, MachineEvent::Relayed { probe, reached }, view);
            }
        }
    }

    /// Puts a part of prompts into quarantine.
    pub fn quarantine(&mut self, now: Time, part: u64) {
        let duration = self.quarantine.add(now, part);
        self.quarantine_changed = true;
        log::warn!(
            part = format!("{part:x}").as_str(),
            ms = duration.as_millis();
            "prompt part quarantined: it crashes engines"
        );
    }

    /// Ends the probation of a part of prompts.
    pub fn release(&mut self, part: u64) {
        self.quarantine.release(part);
        self.quarantine_changed = true;
        log::info!(
            part = format!("{part:x}").as_str();
            "prompt part released: a request with it was answered"
        );
    }

    /// Returns the parts in quarantine if they have changed since the last call.
    pub fn take_quarantine(&mut self) -> Option<Quarantine> {
        std::mem::take(&mut self.quarantine_changed).then(|| self.quarantine.clone())
    }

    /// Records that an endpoint has crashed, and keeps the requests away from endpoints
    /// that are harmful.
    pub fn record_crash(&mut self, now: Time, crash: &Crash) {
        let findings = self.crashes.record(now, crash, &self.harmful_requests);
        self.apply_findings(now, &findings);
    }

    /// Records that a request was answered under which endpoints have crashed.
    pub fn record_answer(&mut self, now: Time, fingerprint: u64) {
        self.crashes.record_answer(now, fingerprint);
        self.release_request(now, fingerprint);
        self.crashes_changed = true;
    }

    /// Returns the requests that crash endpoints, and those under which endpoints have
    /// crashed, if either has changed since the last call.
    pub fn take_crashes(&mut self) -> Option<(Quarantine, Suspects)> {
        std::mem::take(&mut self.crashes_changed)
            .then(|| (self.harmful_requests.clone(), self.crashes.suspects()))
    }

    fn apply_findings(&mut self, now: Time, findings: &Findings) {
        self.crashes_changed = true;

        for fingerprint in &findings.harmless {
            self.release_request(now, *fingerprint);
        }

        for fingerprint in &findings.harmful {
            let duration = self.harmful_requests.add(now, *fingerprint);
            log::warn!(
                fingerprint = format!("{fingerprint:x}").as_str(),
                ms = duration.as_millis();
                "request quarantined: it crashes endpoints"
            );
        }
    }

    fn release_request(&mut self, now: Time, fingerprint: u64) {
        if self.harmful_requests.status(now, fingerprint) == Status::Clear {
            return;
        }

        self.harmful_requests.release(fingerprint);
        log::info!(
            fingerprint = format!("{fingerprint:x}").as_str();
            "request cleared: it was answered"
        );
    }

    /// Adds to a message what other hosts have to know of harmful requests and parts.
    fn add_news(&self, now: Time, message: &mut Message) {
        *message.news = News {
            harmful_parts: self.quarantine.entries(now),
            harmful_requests: self.harmful_requests.entries(now),
            suspicions: self.crashes.news(now),
        };
    }

    fn merge_news(&mut self, now: Time, message: &Message) {
        self.merge_quarantine(now, message);

        for fingerprint in self
            .harmful_requests
            .merge(now, &message.news.harmful_requests)
        {
            self.crashes_changed = true;
            log::info!(
                fingerprint = format!("{fingerprint:x}").as_str(),
                peer = message.from.host.as_str();
                "request quarantined by another host"
            );
        }

        if !message.news.suspicions.is_empty() {
            let news = &message.news.suspicions;
            let findings = self.crashes.merge(now, news, &self.harmful_requests);
            self.apply_findings(now, &findings);
        }
    }

    fn merge_quarantine(&mut self, now: Time, message: &Message) {
        for part in self.quarantine.merge(now, &message.news.harmful_parts) {
            self.quarantine_changed = true;
            log::info!(
                part = format!("{part:x}").as_str(),
                peer = message.from.host.as_str();
                "prompt part quarantined by another host"
            );
        }
    }

    /// Advances the state machine and refreshes the members in the view.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        self.step(now, MachineEvent::Tick, view);

        if self.machine.take_changed() || now.since(self.last_refresh) >= VIEW_REFRESH_INTERVAL {
            self.last_refresh = now;
            view.members = Arc::new(self.machine.members());
            view.had_peers |= !view.members.is_empty();
        }
    }

    fn step(&mut self, now: Time, event: MachineEvent, view: &mut View) {
        self.machine
            .handle(now, &mut view.local, event, &mut self.actions);

        for action in std::mem::take(&mut self.actions) {
            self.perform(now, action);
        }

        self.publish_last_answer(view);
    }

    fn publish_last_answer(&self, view: &mut View) {
        view.last_peer_answer = self.machine.last_peer_answer();
    }

    /// Carries out an action of the state machine. Without links no probe is
    /// sent.
    fn perform(&mut self, now: Time, action: Action) {
        match (action, &self.probe_sender) {
            (Action::Reached { reached, token }, _) => {
                if let Some(reply) = self.relay_replies.remove(&token) {
                    let _ = reply.send(reached);
                }
            }
            (_, None) => {}
            (
                Action::Probe {
                    address,
                    mut message,
                    probe,
                },
                Some(ProbeSender { deliver, links }),
            ) => {
                self.add_news(now, &mut message);
                let deliver = Arc::clone(deliver);
                links.probe(address, message, PROBE_TIMEOUT, move |answer| {
                    deliver(probe_event(probe, answer));
                });
            }
            (
                Action::ProbeFor {
                    address,
                    probe,
                    target,
                },
                Some(ProbeSender { deliver, links }),
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

fn probe_event(probe: u64, answer: Result<Message, transport::Error>) -> Event {
    match answer {
        Ok(message) => Event::Answered { message, probe },
        Err(error) => {
            log::debug!("probe failed: {error}");
            Event::Failed { probe }
        }
    }
}

/// Returns the addresses of the live hosts in the entry pool.
fn entry_addresses(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts
        .iter()
        .filter(|host| host.pool.as_str() == ENTRY_POOL && host.phase == endpoint::Phase::Live)
        .map(|host| host.address)
        .collect()
}
