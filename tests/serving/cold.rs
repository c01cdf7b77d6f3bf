//! A cold endpoint must not get more requests within a second than it survives, from
//! all hosts together.

use {
    persimmoncleat::state::{
        clock::Time,
        id,
        serving::{
            balance::{Balancer, Later, Part, Prompt, Report, Terms},
            batch::{Action, CallOutcome, Dispatcher},
            budget,
            cold::{Bounds, Cause, Cold, Fleet, Limit, Pacer, Role, Start, Starts},
            config::Pool,
            piece::{Input, Job, JobId},
            placement::{Criteria, Placement},
            quarantine::Quarantine,
            roster::{Entry, Roster},
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

const NOW: Time = Time::from_millis(100_000);

const START: Start = Start {
    rate: 17.0,
    time: Duration::from_secs(3),
};

const BOUNDS: Bounds = Bounds {
    excess: 1.5,
    slack: 5.0,
};

/// Most requests of a second that a cold endpoint survives.
const MOST: usize = 30;

/// Interval at which senders have new requests.
const STEP: Duration = Duration::from_millis(5);

const HOSTS: usize = 86;

const FLEET: Fleet = Fleet {
    possible: HOSTS,
    visible: HOSTS,
};

/// Returns an entry of an endpoint that is cold for a time.
fn entry(number: u16, cold: Duration) -> Arc<Entry> {
    Arc::new(Entry {
        address: ([127, 0, 0, 1], 1000 + number).into(),
        cold: Cold {
            left: cold,
            limit: Some(Limit::new(START, BOUNDS)),
            until: NOW + cold,
        },
        domain: "a".into(),
        endpoint: format!("e{number}").into(),
        incarnation: 1,
        leaving: false,
        service: "s".into(),
        slots: 64,
    })
}

fn entries(cold: u16, warm: u16) -> Vec<Arc<Entry>> {
    let cold = (0..cold).map(|number| entry(number, START.time));
    let warm = (0..warm).map(|number| entry(1000 + number, Duration::ZERO));
    cold.chain(warm).collect()
}

/// The times of the requests at each endpoint.
#[derive(Default)]
struct Sent(BTreeMap<id::Endpoint, Vec<Time>>);

impl Sent {
    fn add(&mut self, at: Time, endpoint: &id::Endpoint) {
        self.0.entry(endpoint.clone()).or_default().push(at);
    }

    /// Returns the highest number of requests at an endpoint within a second.
    fn most(&self, endpoint: &id::Endpoint) -> usize {
        let mut requests = self.0.get(endpoint).cloned().unwrap_or_default();
        requests.sort_unstable();
        let mut recent = VecDeque::new();
        let mut most = 0;

        for request in requests {
            recent.push_back(request);

            while request.since(recent[0]) > Duration::from_secs(1) {
                recent.pop_front();
            }

            most = most.max(recent.len());
        }

        most
    }

    fn count(&self, endpoint: &id::Endpoint) -> usize {
        self.0.get(endpoint).map_or(0, Vec::len)
    }
}

fn prompt(number: u64) -> Prompt {
    Prompt {
        domain: None,
        exclude: Vec::new(),
        fingerprint: 0,
        id: JobId {
            home: "h".into(),
            number,
        },
        parts: vec![Part {
            id: number,
            prefix: number,
            tokens: 300,
        }],
        terms: Terms {
            remaining: Duration::from_secs(5),
            ..Terms::default()
        },
        service: "s".into(),
    }
}

fn balancer(entries: &[Arc<Entry>]) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.update(entries.iter(), 500_000);
    balancer.set_fleet(FLEET);
    balancer
}

/// Places a prompt, and returns its engine and when it is sent there.
fn place(
    balancer: &mut Balancer,
    now: Time,
    entries: &[Arc<Entry>],
    prompt: &Prompt,
) -> Option<(Time, id::Endpoint)> {
    if let Some(entry) = balancer.place(now, entries.iter(), prompt) {
        return Some((now, entry.endpoint.clone()));
    }

    match balancer.place_later(now, entries.iter(), prompt) {
        Later::Engine(entry, wait) => Some((now + wait, entry.endpoint.clone())),
        Later::NoEngine | Later::Refused(_) => None,
    }
}

/// Guards against a herd of prompts onto the engines of a domain that was taken back:
/// they have no other prompts, and seem to be the best.
#[test]
fn prompts_of_a_herd_keep_to_the_limit_of_cold_engines() {
    let entries = entries(15, 45);
    let mut balancer = balancer(&entries);
    let mut sent = Sent::default();

    for number in 0..2000 {
        let now = NOW + Duration::from_micros(1000 * number);
        let (at, engine) = place(&mut balancer, now, &entries, &prompt(number)).unwrap();
        assert_eq!(at, now, "a prompt waits while other engines are free");
        sent.add(at, &engine);
    }

    for entry in &entries[..15] {
        assert!(sent.most(&entry.endpoint) <= MOST / 2);
        assert!(sent.count(&entry.endpoint) >= 15, "the capacity is wasted");
    }
}

/// Guards against a burst that goes on at an engine that turns cold: the prompts before
/// count, too.
#[test]
fn engine_that_turns_cold_in_a_burst_gets_no_more_than_it_survives() {
    let warm = [entry(0, Duration::ZERO)];
    let mut balancer = balancer(&warm);
    let mut sent = Sent::default();
    let started = NOW + Duration::from_millis(500);
    let cold = [Arc::new(Entry {
        cold: Cold {
            until: started + START.time,
            ..warm[0].cold
        },
        incarnation: 2,
        ..Entry::clone(&warm[0])
    })];

    for number in 0..3000 {
        let now = NOW + Duration::from_millis(number);
        let entries = if now < started { &warm } else { &cold };

        if now == started {
            balancer.update(entries.iter(), 500_000);
        }

        if let Some(entry) = balancer.place(now, entries.iter(), &prompt(number))
            && now >= started
        {
            sent.add(now, &entry.endpoint);
        }
    }

    let first = sent.0[&warm[0].endpoint][0];
    // The prompts of the last second are at least as many as it survives.
    assert!(
        first.since(started) > Duration::from_millis(900),
        "{first:?}"
    );
    assert!(sent.most(&warm[0].endpoint) <= MOST / 2);
}

/// Guards against two hosts that balance at the same time, and together send more than
/// an engine survives.
#[test]
fn two_balancers_at_once_keep_to_the_limit() {
    let entries = entries(4, 0);
    let mut balancers = [balancer(&entries), balancer(&entries)];
    let mut sent = Sent::default();

    for number in 0..3000 {
        let now = NOW + Duration::from_millis(number);

        for balancer in &mut balancers {
            if let Some(entry) = balancer.place(now, entries.iter(), &prompt(number)) {
                sent.add(now, &entry.endpoint);
            }
        }
    }

    for entry in &entries {
        assert!(sent.most(&entry.endpoint) <= MOST);
        assert!(
            sent.count(&entry.endpoint) >= 3 * 20,
            "the capacity is wasted"
        );
    }
}

/// Guards against a successor that begins anew at the moment at which a balancing host
/// dies.
#[test]
fn successor_of_a_balancer_keeps_to_the_limit() {
    let entries = entries(1, 0);
    let mut sent = Sent::default();

    for (first, last) in [(0, 900), (900, 3000)] {
        let mut balancer = balancer(&entries);

        for number in first..last {
            let now = NOW + Duration::from_millis(number);

            if let Some(entry) = balancer.place(now, entries.iter(), &prompt(number)) {
                sent.add(now, &entry.endpoint);
            }
        }
    }

    assert!(sent.most(&entries[0].endpoint) <= MOST);
}

/// Guards against prompts that all go to one moment when no engine has a slot, and
/// against those that wait beyond their deadline.
#[test]
fn prompts_wait_for_the_first_free_slot_or_are_refused() {
    let entries = entries(2, 0);
    let mut balancer = balancer(&entries);
    let mut sent = Sent::default();
    let mut refused = 0;

    for number in 0..200 {
        match place(&mut balancer, NOW, &entries, &prompt(number)) {
            Some((at, engine)) => sent.add(at, &engine),
            None => refused += 1,
        }
    }

    for entry in &entries {
        assert!(sent.most(&entry.endpoint) <= MOST / 2);
    }

    let placed = sent.0.values().map(Vec::len).sum::<usize>();
    assert_eq!(placed + refused, 200);
    assert!((100..=130).contains(&placed), "{placed} in five seconds");
    let latest = sent.0.values().flatten().max().unwrap();
    assert!(latest.since(NOW) < Duration::from_secs(5));
}

/// Guards against a prompt that waits so long that its first event comes too late.
#[test]
fn wait_leaves_time_for_the_first_event() {
    let entries = entries(1, 0);
    let mut balancer = balancer(&entries);
    balancer.place(NOW, entries.iter(), &prompt(0)).unwrap();
    let id = prompt(0).id;
    let answered = NOW + Duration::from_millis(900);
    balancer.report(answered, &id, Report::Started, &Quarantine::default());
    let short = Prompt {
        terms: Terms {
            remaining: Duration::from_millis(800),
            ..Terms::default()
        },
        ..prompt(1)
    };
    balancer
        .place(answered, entries.iter(), &prompt(2))
        .unwrap();
    let later = balancer.place_later(answered, entries.iter(), &short);
    assert!(matches!(later, Later::Refused(_)), "{later:?}");
    // A host of an earlier version cannot wait.
    let silent = Prompt {
        terms: Terms {
            remaining: Duration::ZERO,
            ..Terms::default()
        },
        ..prompt(3)
    };
    let later = balancer.place_later(answered, entries.iter(), &silent);
    assert!(matches!(later, Later::Refused(_)), "{later:?}");
}

/// Guards against full use of an engine that was unreachable: it may just have started.
#[test]
fn engine_that_was_unreachable_is_cold_until_after_its_first_answer() {
    let entries = entries(0, 1);
    let mut balancer = balancer(&entries);
    let quarantine = Quarantine::default();
    balancer.place(NOW, entries.iter(), &prompt(0)).unwrap();
    balancer.report(NOW, &prompt(0).id, Report::Unreachable, &quarantine);
    let mut sent = Sent::default();

    for number in 1..4000 {
        let now = NOW + Duration::from_secs(4) + Duration::from_millis(number);

        if let Some(entry) = balancer.place(now, entries.iter(), &prompt(number)) {
            sent.add(now, &entry.endpoint);
            balancer.report(now, &prompt(number).id, Report::Started, &quarantine);
        }
    }

    let requests = &sent.0[&entries[0].endpoint];
    let cold = requests
        .iter()
        .filter(|at| at.since(requests[0]) < START.time);
    assert!(cold.count() <= 3 * MOST / 2);
    assert!(requests.len() > 900, "the engine stays cold");
}

/// How hosts that choose alone have requests.
#[derive(Clone, Copy)]
struct Alone {
    /// When the hosts begin to have requests, after the endpoint has turned cold.
    delay: Duration,
    /// Number of hosts that the senders know to be possibly alive.
    possible: usize,
    hosts: usize,
}

impl Alone {
    fn most(self, seed: u64) -> usize {
        let entries = [entry(0, Duration::from_secs(20))];
        let mut random = StdRng::seed_from_u64(seed);
        let mut sent = Sent::default();
        let criteria = Criteria {
            domain: None,
            exclude: &[],
            session: None,
        };

        for _ in 0..self.hosts {
            let mut placement = Placement::new(random.random());
            placement.set_fleet(Fleet {
                possible: self.possible,
                visible: 1,
            });
            let phase = random.random_range(0..5_000);
            let mut now = NOW + self.delay + Duration::from_micros(phase);

            while now < NOW + Duration::from_secs(15) {
                if let Some(entry) = placement.choose(now, entries.iter(), criteria) {
                    sent.add(now, &entry.endpoint);
                    placement.record_choice(now, entry);
                }

                now = now + STEP;
            }
        }

        sent.most(&entries[0].endpoint)
    }
}

macro_rules! alone {
    ($($(#[$doc:meta])* $name:ident: $alone:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                for seed in 0..20 {
                    let most = $alone.most(seed);
                    assert!(most <= MOST, "seed {seed}: {most}");
                    assert!(most > 0, "seed {seed}: the endpoint gets no request");
                }
            }
        )*
    };
}

alone! {
    /// Guards against hosts that have lost the balancing host, and together send more
    /// than an endpoint survives.
    hosts_that_choose_alone_keep_to_the_limit: Alone {
        delay: Duration::ZERO, possible: HOSTS, hosts: HOSTS,
    };
    /// Guards against hosts that save their slots and use them at the same moment.
    herd_of_hosts_that_choose_alone_keeps_to_the_limit: Alone {
        delay: Duration::from_secs(5), possible: HOSTS, hosts: HOSTS,
    };
    few_hosts_that_choose_alone_keep_to_the_limit: Alone {
        delay: Duration::ZERO, possible: 3, hosts: 3,
    };
    single_host_that_chooses_alone_keeps_to_the_limit: Alone {
        delay: Duration::ZERO, possible: 1, hosts: 1,
    };
}

/// Guards against hosts without contact that each act as the only balancing host.
#[test]
fn isolated_balancers_together_keep_to_the_limit() {
    for senders in [2, 3, 4, 8, 20, HOSTS] {
        let entry = entry(0, Duration::from_secs(20));
        let mut sent = Sent::default();
        let mut random = StdRng::seed_from_u64(7);

        for _ in 0..senders {
            let mut pacer = Pacer::new(Role::All, 0);
            pacer.set_fleet(Fleet {
                possible: HOSTS,
                visible: HOSTS / senders,
            });
            let phase = random.random_range(0..5_000_000);
            let mut now = NOW + Duration::from_micros(phase);

            while now < NOW + Duration::from_secs(15) {
                now = pacer.next(now, &entry);
                pacer.record_request(now, &entry);
                sent.add(now, &entry.endpoint);
            }
        }

        let most = sent.most(&entry.endpoint);
        assert!(most <= MOST, "{senders} senders: {most}");
    }
}

const POOL: Pool = Pool {
    batch: 1,
    call: Duration::from_millis(1),
    item: Duration::from_millis(1),
    queue: 2,
    retention: Duration::from_secs(4),
    storage_bytes: 36_000_000,
    slots: 16,
};

/// Guards against a dispatcher that sends the queued pieces of all hosts to a cold
/// endpoint.
#[test]
fn calls_with_pieces_keep_to_the_limit() {
    let entries = entries(1, 0);
    let bounds = budget::Bounds {
        ratio: 0.2,
        slack: 52.0,
        window: Duration::from_secs(10),
    };
    let mut dispatcher = Dispatcher::new(POOL, bounds);
    dispatcher.update(&POOL, entries.iter(), HOSTS);
    dispatcher.set_fleet(FLEET);
    let mut sent = Sent::default();

    for number in 0..500u64 {
        let now = NOW + Duration::from_millis(5 * number);
        let mut actions = Vec::new();
        dispatcher.add(now, job(number), &mut actions);
        dispatcher.tick(now, &mut actions);

        while let Some(action) = actions.pop() {
            if let Action::Send {
                call, entry, items, ..
            } = action
            {
                sent.add(now, &entry.endpoint);
                let results = items.iter().map(|item| {
                    let handle = format!("{}-{call}", item.request);
                    persimmoncleat::state::serving::piece::Result::Done(handle)
                });
                let outcome = CallOutcome::Answered(results.collect());
                dispatcher.finish(now, call, outcome, &mut actions);
            }
        }
    }

    assert!(sent.most(&entries[0].endpoint) <= MOST / 2);
    assert!(
        sent.count(&entries[0].endpoint) >= 24,
        "the capacity is wasted"
    );
}

fn job(number: u64) -> Job {
    Job {
        domain: None,
        first: false,
        id: JobId {
            home: "h".into(),
            number,
        },
        input: Input::Key("k".into()),
        output_bytes: 10,
        pieces: vec![0],
        priority: 1,
        remaining: Duration::from_secs(5),
        request: format!("r{number}"),
        service: "s".into(),
        stage: 0,
        urgency: Duration::from_secs(1),
        team: None,
    }
}

/// Guards against requests that are paced without need, and against a cold time that is
/// not used.
#[test]
fn starts_show_until_when_endpoints_are_cold() {
    let limit = Limit::new(START, BOUNDS);
    let later = NOW + Duration::from_secs(1);
    let listed = |entries: &[Arc<Entry>]| Roster::new(entries.iter().map(|e| Entry::clone(e)));
    let mut starts = Starts::default();
    let warm = entry(0, Duration::ZERO);
    let left = entry(1, Duration::from_secs(2));
    let first = listed(&[Arc::clone(&warm), Arc::clone(&left)]);
    starts.update(NOW, &first, |_| true);
    // Endpoints of the first listing may have started long before.
    assert!(starts.until(&warm, limit).0 <= NOW);
    let until = NOW + Duration::from_secs(2);
    assert_eq!(starts.until(&left, limit), (until, Cause::Entry));

    // Entries that have not changed are as old as before.
    let new = entry(2, Duration::ZERO);
    let restarted = Arc::new(Entry {
        incarnation: 2,
        ..Entry::clone(&warm)
    });
    let second = listed(&[Arc::clone(&restarted), Arc::clone(&left), Arc::clone(&new)]);
    starts.update(later, &second, |endpoint| *endpoint == new.endpoint);
    let started = (later + START.time, Cause::Start);
    assert_eq!(starts.until(&left, limit), (until, Cause::Entry));
    assert_eq!(starts.until(&restarted, limit), started);
    assert_eq!(starts.until(&new, limit), started);

    starts.reopen(later + START.time, &"a".into(), &second);
    let reopened = (later + START.time * 2, Cause::Evacuation);
    assert_eq!(starts.until(&left, limit), reopened);
    // Endpoints of a service without a cold time are never cold.
    let unlimited = starts.mark(Entry::clone(&left), None);
    assert!(!Pacer::default().is_cold(NOW, &unlimited));
}

/// Guards against numbers that overflow a time.
#[test]
fn any_rate_is_accepted() {
    for rate in [f64::MIN_POSITIVE, 1e-9, 1.0, 1e6] {
        for possible in [1, HOSTS, usize::MAX] {
            for role in [Role::All, Role::Alone] {
                let start = Start { rate, ..START };
                let zero = Bounds {
                    excess: 0.0,
                    slack: 0.0,
                };
                let mut entry = Entry::clone(&entry(0, START.time));
                entry.cold.limit = Some(Limit::new(start, zero));
                let mut pacer = Pacer::new(role, 1);
                pacer.set_fleet(Fleet {
                    possible,
                    visible: 0,
                });
                pacer.record_request(NOW, &entry);
                assert!(pacer.next(NOW, &entry) > NOW);
            }
        }
    }
}
