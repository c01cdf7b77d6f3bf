//! Recorded steps for a scheduler, replayed with an oracle that checks its
//! actions.

use {
    crate::state::{
        action::Action,
        attempt::{End, Report},
        clock::Time,
        endpoint::{CacheEvent, CacheEventKind, Endpoint, LoadReport, Phase},
        event::{Demand, Event},
        id,
        pipeline::Stage,
        replay::scheduler_fixture::{
            CONCURRENCY_LIMIT, ENDPOINTS, QUEUE_TIMES, endpoint, endpoint_id, policy,
        },
        replay::scheduler_oracle::{Entry, Oracle},
        replay::scheduler_violation::{Rule, Violation, check},
        request::Request,
        scheduler::Scheduler,
        tuning::Tuning,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Number of rounds of 100 ms within which all requests must end.
const SETTLE_ROUNDS: u32 = 200;

/// End of an attempt in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    Done,
    Failed,
    Leaving,
    NotRun,
    TimedOut,
}

/// Step of a trace. Indexes of requests and attempts count those in progress
/// and wrap around.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// Time passes. Attempts that have exceeded their timeout end.
    Advance { ms: u16 },
    /// A request arrives.
    Arrive {
        deadline_ms: u16,
        prefix: Option<u64>,
        repeatable: bool,
        /// Whether there is a generate stage after the encode stage.
        two_stages: bool,
        team: u8,
        urgent: bool,
    },
    /// An endpoint sends a cache event.
    Cache {
        endpoint: u8,
        prefix: u64,
        sequence: u64,
        stored: bool,
    },
    /// The caller of a request disconnects.
    End { request: u8 },
    /// An attempt ends.
    Finish { attempt: u8, ending: Ending },
    /// The host list contains an endpoint in this phase, or no longer contains
    /// it.
    List { endpoint: u8, phase: Option<Phase> },
    /// An endpoint reports its load.
    Load {
        age_ms: u16,
        endpoint: u8,
        queued: u8,
        running: u8,
    },
    /// Peers report their demand: the requests in progress of team `t0`, one
    /// number per peer.
    Peers { demand: Vec<u8> },
    /// All attempts finish until every request has ended.
    Settle,
}

/// Scheduler with simulated endpoints and callers, and its oracle.
#[derive(Debug)]
pub struct Simulation {
    actions: Vec<Action>,
    listed: BTreeMap<u8, Phase>,
    next_request: u32,
    now: Time,
    oracle: Oracle,
    scheduler: Scheduler,
    tuning: Tuning,
}

impl Simulation {
    /// Builds a simulation in which all endpoints are live.
    ///
    /// # Errors
    ///
    /// Returns the rule that the first events violate.
    pub fn new(seed: u64, tuning: Tuning) -> Result<Self, Violation> {
        let mut simulation = Self {
            actions: Vec::new(),
            listed: (0..ENDPOINTS).map(|index| (index, Phase::Live)).collect(),
            next_request: 0,
            now: Time::from_millis(1),
            oracle: Oracle::default(),
            scheduler: Scheduler::with_tuning("d0".into(), seed, tuning.clone()),
            tuning,
        };
        simulation.send(Event::Policy(Arc::new(policy())))?;
        simulation.send_endpoints()?;
        Ok(simulation)
    }

    /// Executes one step.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the step violates.
    pub fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match step {
            Step::Advance { ms } => self.advance(u64::from(*ms))?,
            Step::Arrive { .. } => self.arrive(step)?,
            Step::Cache {
                endpoint,
                prefix,
                sequence,
                stored,
            } => {
                let change = if *stored {
                    CacheEventKind::Stored
                } else {
                    CacheEventKind::Evicted
                };
                self.send(Event::Cache {
                    endpoint: endpoint_id(*endpoint),
                    event: CacheEvent {
                        change,
                        prefix: *prefix,
                        sequence: *sequence,
                    },
                })?;
            }
            Step::End { request } => self.end_nth(usize::from(*request))?,
            Step::Finish { attempt, ending } => self.finish_nth(usize::from(*attempt), *ending)?,
            Step::List { endpoint, phase } => {
                let endpoint = endpoint % ENDPOINTS;

                match phase {
                    Some(phase) => self.listed.insert(endpoint, *phase),
                    None => self.listed.remove(&endpoint),
                };

                self.send_endpoints()?;
            }
            Step::Load {
                age_ms,
                endpoint,
                queued,
                running,
            } => self.send(Event::Load {
                endpoint: endpoint_id(*endpoint),
                load: LoadReport {
                    age: Duration::from_millis(u64::from(*age_ms)),
                    capacity: CONCURRENCY_LIMIT,
                    queued: u32::from(*queued),
                    running: u32::from(*running),
                },
            })?,
            Step::Peers { demand } => {
                let demands = demand
                    .iter()
                    .map(|count| Demand::from([("t0".into(), u32::from(*count))]));
                let demands = demands.collect();
                self.send(Event::Peers(demands))?;
            }
            Step::Settle => self.settle()?,
        }

        self.check_accounts()
    }

    fn advance(&mut self, millis: u64) -> Result<(), Violation> {
        self.now = self.now + Duration::from_millis(millis);
        let overdue: Vec<id::Attempt> = self
            .oracle
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.started + attempt.timeout <= self.now)
            .map(|(id, _)| *id)
            .collect();

        for attempt in overdue {
            self.finish(attempt, Ending::TimedOut)?;
        }

        self.send(Event::Tick)
    }

    fn arrive(&mut self, step: &Step) -> Result<(), Violation> {
        let Step::Arrive {
            deadline_ms,
            prefix,
            repeatable,
            two_stages,
            team,
            urgent,
        } = step
        else {
            return Ok(());
        };

        self.next_request += 1;
        let (class, queue_time) = if *urgent {
            ("urgent", QUEUE_TIMES[0])
        } else {
            ("volume", QUEUE_TIMES[1])
        };
        let stages = if *two_stages { 2 } else { 1 };
        let request = Request {
            arrived: self.now,
            class: class.into(),
            deadline: self.now + Duration::from_millis(u64::from(*deadline_ms)),
            max_tokens: 100,
            pipeline: "p".into(),
            prefix: *prefix,
            repeatable: *repeatable,
            request: format!("h.1.{:06}", self.next_request).into(),
            stages: ["encode", "generate"][..stages]
                .iter()
                .map(|name| Stage {
                    name: (*name).into(),
                    pool: (*name).into(),
                })
                .collect(),
            team: format!("t{}", team % 3).into(),
        };

        self.oracle.record_arrival(request.clone(), queue_time);
        let id = request.request.clone();
        self.send(Event::Arrived(request))?;

        if self.oracle.requests[&id].admitted {
            self.ready(id, 0)?;
        }

        Ok(())
    }

    /// Checks that the scheduler's counts agree with the oracle's.
    fn check_accounts(&self) -> Result<(), Violation> {
        let depth: usize = self
            .scheduler
            .backlog(self.now)
            .iter()
            .map(|row| row.depth)
            .sum();
        let waiting = self.oracle.waiting();
        check(depth == waiting, Rule::Accounting, || {
            format!("backlog of {depth} stages, but {waiting} requests are queued")
        })?;

        for row in self.scheduler.endpoints(self.now) {
            let running = self
                .oracle
                .attempts
                .values()
                .filter(|attempt| attempt.endpoint == row.endpoint)
                .count();
            check(
                row.outstanding as usize == running,
                Rule::Accounting,
                || format!("{row:?}, but {running} attempts are running"),
            )?;
            check(
                running <= CONCURRENCY_LIMIT as usize,
                Rule::Concurrency,
                || format!("{running} calls running on {}", row.endpoint),
            )?;
        }

        let live = |entry: &&Entry| entry.admitted && !entry.ended;
        let live = self.oracle.requests.values().filter(live).count();
        let outstanding = self.scheduler.outstanding();
        check(outstanding as usize == live, Rule::Accounting, || {
            format!("{outstanding} requests outstanding, but {live} in progress")
        })
    }

    fn end_nth(&mut self, nth: usize) -> Result<(), Violation> {
        let live: Vec<id::Request> = self
            .oracle
            .requests
            .iter()
            .filter(|(_, entry)| !entry.ended)
            .map(|(id, _)| id.clone())
            .collect();

        match live.get(nth % live.len().max(1)) {
            Some(request) => self.end_request(request.clone()),
            None => Ok(()),
        }
    }

    fn finish(&mut self, attempt: id::Attempt, ending: Ending) -> Result<(), Violation> {
        let cancelled = self.oracle.cancelled.contains(&attempt);
        let end = match ending {
            _ if cancelled => End::Cancelled,
            Ending::Done => End::Done { tokens: 1 },
            Ending::Failed => End::Failed,
            Ending::Leaving => End::NotRun { leaving: true },
            Ending::NotRun => End::NotRun { leaving: false },
            Ending::TimedOut => End::TimedOut,
        };
        let Some(finished) = self.oracle.record_end(self.now, attempt, &end) else {
            return Ok(());
        };

        let done = matches!(end, End::Done { .. });
        let elapsed = self.now.since(finished.started);
        self.send(Event::Finished {
            attempt,
            report: Report { elapsed, end },
        })?;

        if !done {
            return Ok(());
        }

        let stages = self.oracle.requests[&finished.request].request.stages.len();

        if finished.stage + 1 < stages {
            self.ready(finished.request, finished.stage + 1)
        } else {
            self.end_request(finished.request)
        }
    }

    fn end_request(&mut self, request: id::Request) -> Result<(), Violation> {
        if let Some(entry) = self.oracle.requests.get_mut(&request) {
            entry.ended = true;
        }

        self.send(Event::Ended { request })
    }

    fn finish_nth(&mut self, nth: usize, ending: Ending) -> Result<(), Violation> {
        let attempts: Vec<id::Attempt> = self.oracle.attempts.keys().copied().collect();

        match attempts.get(nth % attempts.len().max(1)) {
            Some(attempt) => self.finish(*attempt, ending),
            None => Ok(()),
        }
    }

    fn ready(&mut self, request: id::Request, stage: usize) -> Result<(), Violation> {
        self.oracle.record_ready(self.now, &request, stage);
        self.send(Event::Ready { request, stage })
    }

    fn send(&mut self, event: Event) -> Result<(), Violation> {
        self.scheduler.handle(self.now, event, &mut self.actions);

        for action in std::mem::take(&mut self.actions) {
            self.oracle.check_action(self.now, &action)?;
        }

        self.oracle.check_queue_times(self.now)
    }

    fn settle(&mut self) -> Result<(), Violation> {
        for _ in 0..SETTLE_ROUNDS {
            let attempts: Vec<id::Attempt> = self.oracle.attempts.keys().copied().collect();

            for attempt in attempts {
                self.finish(attempt, Ending::Done)?;
            }

            self.advance(100)?;
        }

        let open = self.oracle.requests.values().filter(|entry| !entry.ended);
        let open = open.count();
        check(open == 0, Rule::Ending, || {
            format!("{open} requests have not ended")
        })
    }

    fn send_endpoints(&mut self) -> Result<(), Violation> {
        let endpoints: Vec<Endpoint> = self
            .listed
            .iter()
            .map(|(index, phase)| endpoint(*index, *phase))
            .collect();
        self.oracle
            .record_endpoints(self.now, &endpoints, self.tuning.leaving_hold);
        self.send(Event::Endpoints(endpoints))
    }
}
