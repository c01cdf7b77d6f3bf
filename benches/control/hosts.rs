//! Measures the cost of membership between hosts, and the time in which it
//! propagates changes and detects failures.

use {
    crate::meter::{measure_bytes, micros_per, thread_cpu_time, to_f64},
    capnp::message::Builder,
    persimmoncleat::{
        state::{
            clock::Time,
            fleet::gossip::Message,
            fleet::member::{Member, Phase},
            fleet::membership::Membership,
            fleet::membership_action::Action,
            fleet::membership_event::Event,
            id,
        },
        transport::{peer_capnp::message, wire},
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Number of teams in the demand of each record, which is the maximum that the
/// daemon sends.
const DEMAND_TEAMS: usize = 16;
/// One-way latency between hosts.
const LINK_DELAY_MS: u64 = 5;
/// Tick of the daemon's control thread, used to measure processor time.
const TICK_MS: u64 = 20;
/// Longer tick for phases whose processor time isn't measured.
const COARSE_TICK_MS: u64 = 100;
/// Time before the measurement, in which every host discovers all others.
const SETTLE_MS: u64 = 60_000;
/// Length of the measurement in virtual time.
const MEASURED_MS: u64 = 4000;
/// Maximum time to wait for the propagation of a change or the detection of a
/// failure.
const OBSERVATION_LIMIT_MS: u64 = 60_000;

struct Host {
    local: Member,
    membership: Membership,
    up: bool,
}

enum Delivery {
    Answer {
        message: Message,
        probe: u64,
    },
    Lost {
        probe: u64,
    },
    Probe {
        from: usize,
        message: Message,
        probe: u64,
    },
}

/// The membership of several hosts on an in-memory network.
struct Fleet {
    addresses: HashMap<SocketAddr, usize>,
    bytes: usize,
    deliveries: HashMap<u64, (usize, Delivery)>,
    hosts: Vec<Host>,
    messages: usize,
    millis: u64,
    next: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
}

fn member(index: usize) -> Member {
    let port = 10_000 + u16::try_from(index).unwrap_or_default();
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let demand = (0..DEMAND_TEAMS)
        .map(|team| (id::Team::from(format!("team-{team:05}")), 7))
        .collect();

    Member {
        caller_address: address,
        capacity: 1,
        clock: Time::ZERO,
        demand,
        domain: format!("region{}-{}", index % 5, index % 17).into(),
        endpoints: 0,
        era: 0,
        evacuations: 0,
        host: format!("host-{index:04}").into(),
        incarnation: id::Incarnation(1),
        outstanding: 200,
        peer_address: address,
        phase: Phase::Alive,
        settings: 1,
    }
}

impl Fleet {
    fn new(size: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..size).map(|index| member(index).peer_address).collect();
        let hosts = (0..size)
            .map(|index| {
                let mut local = member(index);
                let seed = u64::try_from(index).unwrap_or_default();
                let mut membership = Membership::new(seeds.iter().copied().take(3), seed);
                membership.handle(
                    Time::ZERO,
                    &mut local,
                    Event::Listed(seeds.clone()),
                    &mut Vec::new(),
                );
                Host {
                    local,
                    membership,
                    up: true,
                }
            })
            .collect();

        Self {
            addresses: seeds.into_iter().zip(0..).collect(),
            bytes: 0,
            deliveries: HashMap::new(),
            hosts,
            messages: 0,
            millis: 0,
            next: 0,
            queue: BinaryHeap::new(),
        }
    }

    fn run(&mut self, millis: u64, tick_ms: u64) {
        let end = self.millis + millis;

        while self.millis < end {
            self.millis += tick_ms;
            self.deliver();

            for index in 0..self.hosts.len() {
                self.handle(index, Event::Tick);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((due, number))) = self.queue.peek().copied()
            && due <= self.millis
        {
            self.queue.pop();

            if let Some((to, delivery)) = self.deliveries.remove(&number) {
                self.receive(to, delivery);
            }
        }
    }

    fn receive(&mut self, to: usize, delivery: Delivery) {
        if !self.hosts[to].up {
            if let Delivery::Probe { from, probe, .. } = delivery {
                self.send(500, from, Delivery::Lost { probe });
            }
            return;
        }

        match delivery {
            Delivery::Answer { message, probe } => {
                self.handle(to, Event::Answered { message, probe });
            }
            Delivery::Lost { probe } => self.handle(to, Event::Failed { probe }),
            Delivery::Probe {
                from,
                message,
                probe,
            } => {
                let now = Time::from_millis(self.millis);
                let host = &mut self.hosts[to];
                let message = host.membership.handle_probe(now, &mut host.local, message);
                self.count(&message);
                self.send(LINK_DELAY_MS, from, Delivery::Answer { message, probe });
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        if !self.hosts[index].up {
            return;
        }

        let now = Time::from_millis(self.millis);
        let mut actions = Vec::new();
        let host = &mut self.hosts[index];
        host.membership
            .handle(now, &mut host.local, event, &mut actions);

        for action in actions {
            match action {
                Action::Probe {
                    address,
                    message,
                    probe,
                } => {
                    self.count(&message);
                    let probe = Delivery::Probe {
                        from: index,
                        message,
                        probe,
                    };
                    self.send(LINK_DELAY_MS, self.addresses[&address], probe);
                }
                Action::ProbeFor { probe, .. } => {
                    let event = Event::Relayed {
                        probe,
                        reached: false,
                    };
                    self.handle(index, event);
                }
                Action::Reached { .. } => {}
            }
        }
    }

    fn count(&mut self, message: &Message) {
        let mut builder = Builder::new_default();
        wire::write_message(builder.init_root::<message::Builder>(), message);
        self.messages += 1;
        self.bytes += capnp::serialize::compute_serialized_size_in_words(&builder) * 8;
    }

    fn send(&mut self, after_ms: u64, to: usize, delivery: Delivery) {
        self.next += 1;
        self.deliveries.insert(self.next, (to, delivery));
        self.queue
            .push(Reverse((self.millis + after_ms, self.next)));
    }

    /// Returns the time in milliseconds until a settings version of one host has
    /// reached all hosts, or `None` after [`OBSERVATION_LIMIT_MS`]. A host that
    /// receives the version number from a peer fetches the settings within one
    /// round trip of a link.
    fn measure_propagation(&mut self) -> Option<u64> {
        let started = self.millis;
        self.hosts[0].local.settings = 2;

        while self.millis < started + OBSERVATION_LIMIT_MS {
            self.run(COARSE_TICK_MS, COARSE_TICK_MS);

            for host in &mut self.hosts {
                let newer = |member: &Member| member.settings == 2;

                if host.local.settings < 2 && host.membership.members().iter().any(newer) {
                    host.local.settings = 2;
                }
            }

            if self.hosts.iter().all(|host| host.local.settings == 2) {
                return Some(self.millis - started + 2 * LINK_DELAY_MS);
            }
        }

        None
    }

    /// Stops one host and returns the time in milliseconds until every other
    /// host suspects it or considers it gone, or `None` after
    /// [`OBSERVATION_LIMIT_MS`].
    fn measure_detection(&mut self) -> Option<u64> {
        let started = self.millis;
        let last = self.hosts.len() - 1;
        let failed_host = self.hosts[last].local.host.clone();
        self.hosts[last].up = false;

        while self.millis < started + OBSERVATION_LIMIT_MS {
            self.run(COARSE_TICK_MS, COARSE_TICK_MS);
            let still_listed = self.hosts[..last].iter().any(|host| {
                host.membership
                    .members()
                    .iter()
                    .any(|member| member.host == failed_host && member.phase != Phase::Suspect)
            });

            if !still_listed {
                return Some(self.millis - started);
            }
        }

        None
    }
}

/// Prints the cost of membership for several numbers of hosts.
pub fn print(sizes: &[usize]) {
    println!(
        "membership, per host (virtual time, {LINK_DELAY_MS} ms links, {DEMAND_TEAMS} teams a record)"
    );
    println!(
        "{:>6} {:>10} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "hosts", "msgs/s", "bytes/s", "us/s", "KB", "news s", "suspect s"
    );

    for size in sizes {
        let (mut fleet, bytes) = measure_bytes(|| {
            let mut fleet = Fleet::new(*size);
            fleet.run(SETTLE_MS, COARSE_TICK_MS);
            fleet
        });
        (fleet.messages, fleet.bytes) = (0, 0);
        let before = thread_cpu_time();
        fleet.run(MEASURED_MS, TICK_MS);
        let time = thread_cpu_time() - before;
        let seconds = Duration::from_millis(MEASURED_MS).as_secs_f64();
        let units = seconds * to_f64(*size);
        let messages = to_f64(fleet.messages) / units;
        let sent = to_f64(fleet.bytes) / units;
        let propagation = fleet.measure_propagation();
        let detection = fleet.measure_detection();

        println!(
            "{size:>6} {messages:>10.1} {sent:>10.0} {:>10.0} {:>10} {:>12} {:>12}",
            micros_per(time, units),
            bytes / size / 1000,
            seconds_of(propagation),
            seconds_of(detection),
        );
    }

    println!();
}

fn seconds_of(millis: Option<u64>) -> String {
    match millis {
        None => format!("over {}", OBSERVATION_LIMIT_MS / 1000),
        Some(millis) => format!("{:.1}", Duration::from_millis(millis).as_secs_f64()),
    }
}
