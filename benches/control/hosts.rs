//! Membership between hosts, and how fast news spreads by it.

use {
    crate::meter::{cpu, float, micros_per, weighed},
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

/// Teams in each record's demand; the daemon sends as many at most.
const DEMAND: usize = 16;
const LINK_MS: u64 = 5;
/// The control thread's tick, by which processor time is measured.
const TICK_MS: u64 = 20;
/// A longer tick for what is not measured by processor time.
const COARSE_TICK_MS: u64 = 100;
/// Time for everyone to learn of everyone.
const SETTLE_MS: u64 = 60_000;
const MEASURED_MS: u64 = 4000;
/// Longest time that news or a failure is followed.
const FOLLOWED_MS: u64 = 60_000;

struct Host {
    local: Member,
    machine: Membership,
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

/// Several hosts' membership with a small in-memory network.
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
    let demand = (0..DEMAND)
        .map(|team| (id::Team::from(format!("team-{team:05}")), 7))
        .collect();

    Member {
        caller_address: address,
        capacity: 1,
        clock: Time::ZERO,
        demand,
        domain: format!("region{}-{}", index % 5, index % 17).into(),
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
                let mut machine = Membership::new(seeds.iter().copied().take(3), seed);
                machine.handle(
                    Time::ZERO,
                    &mut local,
                    Event::Listed(seeds.clone()),
                    &mut Vec::new(),
                );
                Host {
                    local,
                    machine,
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
                self.take(to, delivery);
            }
        }
    }

    fn take(&mut self, to: usize, delivery: Delivery) {
        if !self.hosts[to].up {
            if let Delivery::Probe { from, probe, .. } = delivery {
                self.post(500, from, Delivery::Lost { probe });
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
                let message = host.machine.handle_probe(now, &mut host.local, message);
                self.count(&message);
                self.post(LINK_MS, from, Delivery::Answer { message, probe });
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
        host.machine
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
                    self.post(LINK_MS, self.addresses[&address], probe);
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

    fn post(&mut self, after_ms: u64, to: usize, delivery: Delivery) {
        self.next += 1;
        self.deliveries.insert(self.next, (to, delivery));
        self.queue
            .push(Reverse((self.millis + after_ms, self.next)));
    }

    /// Follows a new settings version that one host has: a host that hears of
    /// it from a peer fetches it within one link's round trip.
    fn spread(&mut self) -> Option<u64> {
        let begun = self.millis;
        self.hosts[0].local.settings = 2;

        while self.millis < begun + FOLLOWED_MS {
            self.run(COARSE_TICK_MS, COARSE_TICK_MS);

            for host in &mut self.hosts {
                let newer = |member: &Member| member.settings == 2;

                if host.local.settings < 2 && host.machine.members().iter().any(newer) {
                    host.local.settings = 2;
                }
            }

            if self.hosts.iter().all(|host| host.local.settings == 2) {
                return Some(self.millis - begun + 2 * LINK_MS);
            }
        }

        None
    }

    /// Stops one host and follows until every other one takes it as gone.
    fn fail(&mut self) -> Option<u64> {
        let begun = self.millis;
        let last = self.hosts.len() - 1;
        let gone = self.hosts[last].local.host.clone();
        self.hosts[last].up = false;

        while self.millis < begun + FOLLOWED_MS {
            self.run(COARSE_TICK_MS, COARSE_TICK_MS);
            let known = self.hosts[..last].iter().any(|host| {
                host.machine
                    .members()
                    .iter()
                    .any(|member| member.host == gone && member.phase != Phase::Suspect)
            });

            if !known {
                return Some(self.millis - begun);
            }
        }

        None
    }
}

/// Prints the cost of membership at several sizes.
pub fn print(sizes: &[usize]) {
    println!("membership, per host (virtual time, {LINK_MS} ms links, {DEMAND} teams a record)");
    println!(
        "{:>6} {:>10} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "hosts", "msgs/s", "bytes/s", "us/s", "KB", "news s", "suspect s"
    );

    for size in sizes {
        let (mut fleet, bytes) = weighed(|| {
            let mut fleet = Fleet::new(*size);
            fleet.run(SETTLE_MS, COARSE_TICK_MS);
            fleet
        });
        (fleet.messages, fleet.bytes) = (0, 0);
        let before = cpu();
        fleet.run(MEASURED_MS, TICK_MS);
        let time = cpu() - before;
        let seconds = Duration::from_millis(MEASURED_MS).as_secs_f64();
        let units = seconds * float(*size);
        let messages = float(fleet.messages) / units;
        let sent = float(fleet.bytes) / units;
        let news = fleet.spread();
        let failed = fleet.fail();

        println!(
            "{size:>6} {messages:>10.1} {sent:>10.0} {:>10.0} {:>10} {:>12} {:>12}",
            micros_per(time, units),
            bytes / size / 1000,
            seconds_of(news),
            seconds_of(failed),
        );
    }

    println!();
}

fn seconds_of(millis: Option<u64>) -> String {
    match millis {
        None => format!("over {}", FOLLOWED_MS / 1000),
        Some(millis) => format!("{:.1}", Duration::from_millis(millis).as_secs_f64()),
    }
}
