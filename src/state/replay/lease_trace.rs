//! Recorded traces of a pool's lease among several hosts, replayed with checks
//! of the lease's rules.

use {
    crate::state::{
        clock::Time,
        id,
        lease::{self, Event, Lease, Next, Record, Role, VersionedRecord, WriteResult},
        pool::Fencing,
    },
    serde::{Deserialize, Serialize},
    snafu::{Snafu, ensure},
    std::collections::VecDeque,
};

/// Clock rates of the hosts, in thousandths of true time. Hosts beyond the
/// third reuse them.
const CLOCK_RATES: [u64; 3] = [1000, 1030, 970];

/// Step of a trace.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// True time passes.
    Advance { millis: u64 },
    /// The host receives the answer to its last read or write.
    Answer { host: usize },
    /// The host becomes or stops being a candidate.
    Candidate { candidate: bool, host: usize },
    /// Every write has this result until the next such step; `None` restores
    /// the result that each `Send` names.
    #[serde(rename = "fate")]
    ForceResult { write: Option<Write> },
    /// The host is frozen until it wakes; its clock continues to run.
    Freeze { host: usize },
    /// The oldest late write reaches the store.
    #[serde(rename = "land")]
    ApplyLateWrite,
    /// The host starts a planned stop.
    Leave { host: usize },
    /// The store stops or resumes answering.
    Outage { down: bool },
    /// The host starts again with a new incarnation.
    Restart { host: usize },
    /// The host sends the read or write that its lease requests. It takes
    /// effect at once, unless it is a late write.
    Send { host: usize, write: Write },
    /// The host continues after a freeze.
    Wake { host: usize },
}

/// Result of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// The write takes effect and is answered.
    Answered,
    /// The write never takes effect and is not answered.
    Dropped,
    /// The write reaches the store after its sender has stopped waiting.
    Late,
    /// The write takes effect, but the answer is lost.
    Lost,
}

/// Violation of a rule of the lease, or of the trace's expected result.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Violation {
    #[snafu(display("hosts {holders:?} may send orders at the end, expected {expected:?}"))]
    UnexpectedHolders {
        expected: Vec<usize>,
        holders: Vec<usize>,
    },
    #[snafu(display("hosts {first} and {second} may both send orders at {micros} us"))]
    TwoHolders {
        first: usize,
        micros: u64,
        second: usize,
    },
    #[snafu(display(
        "host {host} may send orders with token {token}, but version {version} is stored"
    ))]
    StaleToken {
        host: usize,
        token: u64,
        version: u64,
    },
    #[snafu(display(
        "host {host} may send orders {millis} ms before those of host {previous} have timed out"
    ))]
    Overlap {
        host: usize,
        millis: u64,
        previous: usize,
    },
}

#[derive(Clone, Debug)]
struct Host {
    answer: Option<Event>,
    frozen: bool,
    incarnation: u64,
    lease: Lease,
    clock_rate: u64,
}

/// Simulated hosts, their store and the true time.
#[derive(Clone, Debug)]
pub struct Simulation {
    down: bool,
    forced_write: Option<Write>,
    fencing: Fencing,
    hosts: Vec<Host>,
    /// Last host that could send orders, and the true time in microseconds
    /// until which an order from it may still be in flight.
    last_sender: Option<(usize, u64)>,
    late_writes: VecDeque<(Option<u64>, Record)>,
    micros: u64,
    store: Option<VersionedRecord>,
    version: u64,
}

impl Simulation {
    /// Builds hosts that are all candidates for the lease of one pool.
    pub fn new(hosts: usize, fencing: Fencing) -> Self {
        let mut simulation = Self {
            down: false,
            forced_write: None,
            fencing,
            hosts: Vec::new(),
            last_sender: None,
            late_writes: VecDeque::new(),
            micros: 0,
            store: None,
            version: 0,
        };

        for index in 0..hosts {
            simulation.hosts.push(Host {
                answer: None,
                frozen: false,
                incarnation: 1,
                lease: simulation.lease(index, 1),
                clock_rate: CLOCK_RATES[index % CLOCK_RATES.len()],
            });
        }

        simulation
    }

    /// Returns the hosts that may currently send orders.
    pub fn holders(&self) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|host| self.role(*host) != Role::Follower)
            .collect()
    }

    /// Executes one step and checks the rules.
    ///
    /// # Errors
    ///
    /// Returns the rule that the step violated.
    pub fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match step {
            Step::Advance { millis } => {
                // Checks every 100 ms, so that a short overlap is not skipped.
                for _ in 0..millis.div_ceil(100) {
                    self.micros += 100_000;
                    self.check()?;
                }
            }
            Step::Answer { host } => self.answer(*host),
            Step::Candidate { candidate, host } => {
                self.deliver(*host, Event::Candidate(*candidate));
            }
            Step::ForceResult { write } => self.forced_write = *write,
            Step::Freeze { host } => self.hosts[*host].frozen = true,
            Step::ApplyLateWrite => {
                if let Some((expected, record)) = self.late_writes.pop_front() {
                    self.store(expected, record);
                }
            }
            Step::Leave { host } => self.deliver(*host, Event::Leaving),
            Step::Outage { down } => self.down = *down,
            Step::Restart { host } => {
                let incarnation = self.hosts[*host].incarnation + 1;
                let lease = self.lease(*host, incarnation);
                let host = &mut self.hosts[*host];
                host.answer = None;
                host.incarnation = incarnation;
                host.frozen = false;
                host.lease = lease;
            }
            Step::Send { host, write } => self.send(*host, *write),
            Step::Wake { host } => self.hosts[*host].frozen = false,
        }

        self.check()
    }

    fn lease(&self, index: usize, incarnation: u64) -> Lease {
        let mut lease = Lease::new(
            id::Host::from(format!("h{index}")),
            id::Incarnation(incarnation),
            self.fencing,
        );
        lease.handle(Time::ZERO, Event::Candidate(true));
        lease
    }

    fn now(&self, host: usize) -> Time {
        Time::from_micros(self.micros / 1000 * self.hosts[host].clock_rate)
    }

    fn role(&self, host: usize) -> Role {
        self.hosts[host].lease.role(self.now(host))
    }

    fn deliver(&mut self, host: usize, event: Event) {
        let now = self.now(host);
        self.hosts[host].lease.handle(now, event);
    }

    fn answer(&mut self, host: usize) {
        if self.hosts[host].frozen {
            return;
        }

        if let Some(event) = self.hosts[host].answer.take() {
            self.deliver(host, event);
        }
    }

    fn send(&mut self, host: usize, write: Write) {
        if self.hosts[host].frozen || self.hosts[host].answer.is_some() {
            return;
        }

        let now = self.now(host);

        self.hosts[host].answer = match self.hosts[host].lease.next(now) {
            Next::Wait => None,
            Next::Read if self.down => Some(Event::ReadFailed),
            Next::Read => Some(Event::Read(self.store.clone())),
            Next::Write { expected, record } => {
                Some(Event::Written(self.write(expected, record, write)))
            }
        };
    }

    fn write(&mut self, expected: Option<u64>, record: Record, write: Write) -> WriteResult {
        if self.down {
            return WriteResult::Unknown;
        }

        match self.forced_write.unwrap_or(write) {
            Write::Answered => match self.store(expected, record) {
                Some(version) => WriteResult::Done { version },
                None => WriteResult::Lost,
            },
            Write::Dropped => WriteResult::Unknown,
            Write::Late => {
                self.late_writes.push_back((expected, record));
                WriteResult::Unknown
            }
            Write::Lost => {
                self.store(expected, record);
                WriteResult::Unknown
            }
        }
    }

    /// Writes the record if the stored version is the expected one.
    fn store(&mut self, expected: Option<u64>, record: Record) -> Option<u64> {
        if self.store.as_ref().map(|found| found.version) != expected {
            return None;
        }

        self.version += 1;
        self.store = Some(VersionedRecord {
            record,
            version: self.version,
        });
        Some(self.version)
    }

    fn check(&mut self) -> Result<(), Violation> {
        let holders = self.holders();

        if let [first, second, ..] = holders[..] {
            return TwoHoldersSnafu {
                first,
                micros: self.micros,
                second,
            }
            .fail();
        }

        let Some(&host) = holders.first() else {
            return Ok(());
        };

        if let Role::Holder { token, .. } = self.role(host) {
            ensure!(
                token <= self.version,
                StaleTokenSnafu {
                    host,
                    token,
                    version: self.version
                }
            );
        }

        if let Some((previous, until)) = self.last_sender {
            // Engines that enforce the fencing token refuse overlapping orders.
            ensure!(
                previous == host || self.fencing == Fencing::Enforced || self.micros >= until,
                OverlapSnafu {
                    host,
                    millis: (until.saturating_sub(self.micros)) / 1000,
                    previous
                }
            );
        }

        let order_timeout = u64::try_from(lease::ORDER_TIMEOUT.as_micros()).unwrap_or(u64::MAX);
        self.last_sender = Some((host, self.micros + order_timeout));
        Ok(())
    }
}

/// Sequence of steps with its expected result.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Failure that the trace guards against.
    pub about: String,
    pub fencing: Fencing,
    /// Hosts that may send orders at the end.
    pub holders: Vec<usize>,
    pub hosts: usize,
    pub steps: Vec<Step>,
}

impl Trace {
    /// Executes every step and compares the holders at the end with the
    /// expected ones.
    ///
    /// # Errors
    ///
    /// Returns the first rule that a step violated, or the unexpected holders
    /// at the end.
    pub fn replay(&self) -> Result<(), Violation> {
        let mut simulation = Simulation::new(self.hosts, self.fencing);

        for step in &self.steps {
            simulation.step(step)?;
        }

        let holders = simulation.holders();
        ensure!(
            holders == self.holders,
            UnexpectedHoldersSnafu {
                expected: self.holders.clone(),
                holders
            }
        );
        Ok(())
    }
}
