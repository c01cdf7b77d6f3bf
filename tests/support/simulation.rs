//! Simulation of the membership state machines of a fleet, on virtual time and
//! over a network that loses and delays messages and whose links can be cut.

use {
    crate::fleet::member,
    persimmoncleat::state::{
        clock::Time,
        fleet::gossip::Message,
        fleet::member::{Member, Phase},
        fleet::membership::Membership,
        fleet::membership_action::Action,
        fleet::membership_event::Event,
        id::{Host, Incarnation},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Peer port of host number 0.
const FIRST_PEER_PORT: u16 = 7100;
/// Milliseconds after which a probe fails.
const PROBE_TIMEOUT_MS: u64 = 500;
/// Milliseconds after which an indirect probe fails.
const RELAY_TIMEOUT_MS: u64 = 1000;
/// Milliseconds between two ticks of the virtual clock.
const TICK_MS: u64 = 100;

/// The current process of a host.
pub struct Node {
    pub frozen: bool,
    pub local: Member,
    pub machine: Membership,
    pub up: bool,
    /// Number of restarts of the host.
    generation: u64,
    /// Numbers of the calls that are not answered yet.
    calls: BTreeSet<u64>,
    /// Latest incarnation of each host that was listed and then removed.
    gone: BTreeMap<Host, Incarnation>,
    /// Latest incarnation of each host that was listed.
    seen: BTreeMap<Host, Incarnation>,
    /// Virtual time of the start, in milliseconds.
    start: u64,
}

enum Content {
    Answer {
        call: u64,
        event: Event,
    },
    Probe {
        call: u64,
        message: Message,
        probe: u64,
    },
    ProbeFor {
        call: u64,
        probe: u64,
        target: SocketAddr,
    },
    TimeOut {
        call: u64,
        event: Event,
    },
}

struct Envelope {
    content: Content,
    from: usize,
    /// Generation of the calling process; no other one receives the answer.
    generation: u64,
    to: usize,
}

/// A simulated fleet. Host number `n` has the peer address `127.0.0.1:7100 + n`.
pub struct Simulation {
    /// Probability that a message is lost.
    pub loss: f64,
    pub nodes: Vec<Node>,
    calls: u64,
    cut: BTreeSet<(usize, usize)>,
    /// Virtual time in milliseconds.
    now: u64,
    /// Messages under way by delivery time and number.
    queue: BTreeMap<(u64, u64), Envelope>,
    random: StdRng,
    sent: u64,
    /// Host, generation, call and probe that wait for the result of a
    /// `ProbeFor`, by token.
    tokens: BTreeMap<u64, (usize, u64, u64, u64)>,
}

impl Simulation {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let mut simulation = Self {
            loss: 0.0,
            nodes: Vec::new(),
            calls: 0,
            cut: BTreeSet::new(),
            now: 3_600_000,
            queue: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            sent: 0,
            tokens: BTreeMap::new(),
        };

        for host in 0..hosts {
            let node = simulation.node(host, hosts, simulation.now);
            simulation.nodes.push(node);
        }

        simulation
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut.insert((a.min(b), a.max(b)));
    }

    pub fn heal(&mut self, a: usize, b: usize) {
        self.cut.remove(&(a.min(b), a.max(b)));
    }

    pub fn heal_all(&mut self) {
        self.cut.clear();
    }

    /// Restarts a killed host with a wall clock that is `behind` milliseconds
    /// behind the others'.
    pub fn restart(&mut self, host: usize, behind: u64) {
        let generation = self.nodes[host].generation + 1;
        let wall = self.now.saturating_sub(behind);
        let node = self.node(host, self.nodes.len(), wall);
        self.nodes[host] = Node { generation, ..node };
    }

    pub fn leave(&mut self, host: usize) {
        if self.nodes[host].up && !self.nodes[host].frozen {
            self.handle(host, Event::Leave);
        }
    }

    /// Advances the time by `millis` milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if a host lists an incarnation that it removed before, or one
    /// older than it listed before.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;

        while self.now < end {
            self.now += TICK_MS;

            while let Some(entry) = self.queue.first_entry()
                && entry.key().0 <= self.now
            {
                let envelope = entry.remove();
                self.deliver(envelope);
            }

            for host in 0..self.nodes.len() {
                if self.nodes[host].up && !self.nodes[host].frozen {
                    self.handle(host, Event::Tick);
                    self.nodes[host].check();
                }
            }
        }
    }

    /// Returns the phase of the current incarnation of `host` in the member list
    /// of `observer`.
    pub fn phase(&self, observer: usize, host: usize) -> Option<Phase> {
        let host = &self.nodes[host].local;
        let members = self.nodes[observer].machine.members();
        let seen = members.iter().find(|member| member.host == host.host)?;
        (seen.incarnation == host.incarnation).then_some(seen.phase)
    }

    /// Returns whether `observer` lists any incarnation of `host`.
    pub fn lists(&self, observer: usize, host: usize) -> bool {
        let members = self.nodes[observer].machine.members();
        members
            .iter()
            .any(|member| member.host == self.nodes[host].local.host)
    }

    fn node(&mut self, host: usize, hosts: usize, wall: u64) -> Node {
        let addresses = (0..hosts).map(address);
        let mut machine = Membership::new([address(0)], self.random.random());
        let mut local = member(
            &format!("h{host}"),
            "is-1",
            FIRST_PEER_PORT - 100 + host as u16,
        );
        local.incarnation = Incarnation(wall * 1000);
        let listed = Event::Listed(addresses.collect());
        machine.handle(Time::ZERO, &mut local, listed, &mut Vec::new());

        Node {
            calls: BTreeSet::new(),
            frozen: false,
            gone: BTreeMap::new(),
            generation: 0,
            local,
            machine,
            seen: BTreeMap::new(),
            start: self.now,
            up: true,
        }
    }

    fn clock(&self, host: usize) -> Time {
        Time::from_millis(self.now - self.nodes[host].start)
    }

    fn handle(&mut self, host: usize, event: Event) {
        let now = self.clock(host);
        let node = &mut self.nodes[host];
        let mut actions = Vec::new();
        node.machine
            .handle(now, &mut node.local, event, &mut actions);

        for action in actions {
            self.execute(host, action);
        }
    }

    fn execute(&mut self, host: usize, action: Action) {
        match action {
            Action::Probe {
                address,
                message,
                probe,
            } => {
                let call = self.call(host, PROBE_TIMEOUT_MS, Event::Failed { probe });
                let content = Content::Probe {
                    call,
                    message,
                    probe,
                };
                self.send(
                    host,
                    host_index(address),
                    self.nodes[host].generation,
                    content,
                );
            }
            Action::ProbeFor {
                address,
                probe,
                target,
            } => {
                let reached = false;
                let call = self.call(host, RELAY_TIMEOUT_MS, Event::Relayed { probe, reached });
                let content = Content::ProbeFor {
                    call,
                    probe,
                    target,
                };
                self.send(
                    host,
                    host_index(address),
                    self.nodes[host].generation,
                    content,
                );
            }
            Action::Reached { reached, token } => {
                if let Some((to, generation, call, probe)) = self.tokens.remove(&token) {
                    let event = Event::Relayed { probe, reached };
                    self.send(host, to, generation, Content::Answer { call, event });
                }
            }
        }
    }

    /// Registers a call that ends with `event` unless it is answered.
    fn call(&mut self, host: usize, timeout: u64, event: Event) -> u64 {
        self.calls += 1;
        let call = self.calls;
        self.nodes[host].calls.insert(call);
        self.sent += 1;
        let envelope = Envelope {
            content: Content::TimeOut { call, event },
            from: host,
            generation: self.nodes[host].generation,
            to: host,
        };
        self.queue.insert((self.now + timeout, self.sent), envelope);
        call
    }

    fn send(&mut self, from: usize, to: usize, generation: u64, content: Content) {
        if self.random.random_bool(self.loss) {
            return;
        }

        self.sent += 1;
        let at = self.now + self.random.random_range(0..100);
        let envelope = Envelope {
            content,
            from,
            generation,
            to,
        };
        self.queue.insert((at, self.sent), envelope);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope {
            content,
            from,
            generation,
            to,
        } = envelope;
        let link = (from.min(to), from.max(to));

        if !self.nodes[to].up || self.cut.contains(&link) {
            return;
        }

        if self.nodes[to].frozen {
            self.sent += 1;
            let envelope = Envelope {
                content,
                from,
                generation,
                to,
            };
            self.queue.insert((self.now + TICK_MS, self.sent), envelope);
            return;
        }

        match content {
            Content::Answer { call, event } | Content::TimeOut { call, event } => {
                if self.nodes[to].generation == generation && self.nodes[to].calls.remove(&call) {
                    self.handle(to, event);
                }
            }
            Content::Probe {
                call,
                message,
                probe,
            } => {
                let now = self.clock(to);
                let node = &mut self.nodes[to];
                let message = node.machine.handle_probe(now, &mut node.local, message);
                let event = Event::Answered { message, probe };
                self.send(to, from, generation, Content::Answer { call, event });
            }
            Content::ProbeFor {
                call,
                probe,
                target,
            } => {
                let token = call;
                self.tokens.insert(token, (from, generation, call, probe));
                self.handle(to, Event::ProbeFor { target, token });
            }
        }
    }
}

impl Node {
    fn check(&mut self) {
        let members = self.machine.members();

        for member in &members {
            let Member {
                host, incarnation, ..
            } = member;
            let gone = self.gone.get(host);
            assert!(
                gone.is_none_or(|gone| gone < incarnation),
                "{} lists {host} again with incarnation {incarnation}, which was gone",
                self.local.host,
            );
            let seen = self.seen.insert(host.clone(), *incarnation);
            assert!(
                seen.is_none_or(|seen| seen <= *incarnation),
                "{} went back to incarnation {incarnation} of {host}",
                self.local.host,
            );
        }

        for (host, incarnation) in &self.seen {
            if !members.iter().any(|member| member.host == *host) {
                self.gone.insert(host.clone(), *incarnation);
            }
        }
    }
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PEER_PORT + host as u16))
}

fn host_index(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PEER_PORT)
}
