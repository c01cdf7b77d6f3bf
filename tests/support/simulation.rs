//! A fleet of membership machines on virtual time, over a network that loses,
//! delays and cuts.

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

const ADDRESS_BASE: u16 = 7100;
const PROBE_TIMEOUT: u64 = 500;
const RELAY_TIMEOUT: u64 = 1000;
const TICK: u64 = 100;

/// One process of a host.
pub struct Node {
    pub frozen: bool,
    pub local: Member,
    pub machine: Membership,
    pub up: bool,
    life: u64,
    /// Calls without an answer, by number.
    calls: BTreeSet<u64>,
    gone: BTreeMap<Host, Incarnation>,
    seen: BTreeMap<Host, Incarnation>,
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
    /// The process to which an answer belongs.
    life: u64,
    to: usize,
}

/// The fleet. Host number `n` has the peer address `127.0.0.1:7100 + n`.
pub struct Simulation {
    pub loss: f64,
    pub nodes: Vec<Node>,
    calls: u64,
    cut: BTreeSet<(usize, usize)>,
    now: u64,
    queue: BTreeMap<(u64, u64), Envelope>,
    random: StdRng,
    sent: u64,
    /// Who waits for the answer to a `ProbeFor`, by token.
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

    /// Starts a killed host again, with a wall clock `behind` the others'.
    pub fn restart(&mut self, host: usize, behind: u64) {
        let life = self.nodes[host].life + 1;
        let wall = self.now.saturating_sub(behind);
        let node = self.node(host, self.nodes.len(), wall);
        self.nodes[host] = Node { life, ..node };
    }

    pub fn leave(&mut self, host: usize) {
        if self.nodes[host].up && !self.nodes[host].frozen {
            self.handle(host, Event::Leave);
        }
    }

    /// Lets time pass.
    ///
    /// # Panics
    ///
    /// Panics if a host is present again with an incarnation that was gone, or
    /// with an older one.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;

        while self.now < end {
            self.now += TICK;

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

    /// Returns the phase in which one host sees the current incarnation of
    /// another.
    pub fn phase(&self, observer: usize, host: usize) -> Option<Phase> {
        let host = &self.nodes[host].local;
        let members = self.nodes[observer].machine.members();
        let seen = members.iter().find(|member| member.host == host.host)?;
        (seen.incarnation == host.incarnation).then_some(seen.phase)
    }

    /// Returns whether one host lists another in any incarnation.
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
            ADDRESS_BASE - 100 + host as u16,
        );
        local.incarnation = Incarnation(wall * 1000);
        let listed = Event::Listed(addresses.collect());
        machine.handle(Time::ZERO, &mut local, listed, &mut Vec::new());

        Node {
            calls: BTreeSet::new(),
            frozen: false,
            gone: BTreeMap::new(),
            life: 0,
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
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Probe {
                address,
                message,
                probe,
            } => {
                let call = self.call(host, PROBE_TIMEOUT, Event::Failed { probe });
                let content = Content::Probe {
                    call,
                    message,
                    probe,
                };
                self.send(host, index(address), self.nodes[host].life, content);
            }
            Action::ProbeFor {
                address,
                probe,
                target,
            } => {
                let reached = false;
                let call = self.call(host, RELAY_TIMEOUT, Event::Relayed { probe, reached });
                let content = Content::ProbeFor {
                    call,
                    probe,
                    target,
                };
                self.send(host, index(address), self.nodes[host].life, content);
            }
            Action::Reached { reached, token } => {
                if let Some((to, life, call, probe)) = self.tokens.remove(&token) {
                    let event = Event::Relayed { probe, reached };
                    self.send(host, to, life, Content::Answer { call, event });
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
            life: self.nodes[host].life,
            to: host,
        };
        self.queue.insert((self.now + timeout, self.sent), envelope);
        call
    }

    fn send(&mut self, from: usize, to: usize, life: u64, content: Content) {
        if self.random.random_bool(self.loss) {
            return;
        }

        self.sent += 1;
        let at = self.now + self.random.random_range(0..100);
        let envelope = Envelope {
            content,
            from,
            life,
            to,
        };
        self.queue.insert((at, self.sent), envelope);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope {
            content,
            from,
            life,
            to,
        } = envelope;
        let ends = (from.min(to), from.max(to));

        if !self.nodes[to].up || self.cut.contains(&ends) {
            return;
        }

        if self.nodes[to].frozen {
            self.sent += 1;
            let envelope = Envelope {
                content,
                from,
                life,
                to,
            };
            self.queue.insert((self.now + TICK, self.sent), envelope);
            return;
        }

        match content {
            Content::Answer { call, event } | Content::TimeOut { call, event } => {
                if self.nodes[to].life == life && self.nodes[to].calls.remove(&call) {
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
                self.send(to, from, life, Content::Answer { call, event });
            }
            Content::ProbeFor {
                call,
                probe,
                target,
            } => {
                let token = call;
                self.tokens.insert(token, (from, life, call, probe));
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
                "{} sees {host} again with incarnation {incarnation}, which was gone",
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
    SocketAddr::from(([127, 0, 0, 1], ADDRESS_BASE + host as u16))
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - ADDRESS_BASE)
}
