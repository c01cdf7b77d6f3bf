//! Simulation of several settings replicas with a model of the store, in steps
//! that can be recorded and replayed.

pub use crate::state::{
    replay::settings_step::{Fault, Step},
    replay::settings_violation::Violation,
};

use {
    crate::state::{
        clock::Time,
        fleet::watchers::watchers,
        id,
        replay::settings_call::Call,
        replay::settings_store::Store,
        replay::settings_violation::{DivergedSnafu, UnansweredSnafu, VersionRegressedSnafu},
        settings::change::Draft,
        settings::edit::DraftEdit,
        settings::replica::{Limits, Replica},
        settings::replica_action::Action,
        settings::replica_event::Event,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Number of hosts, of which two watch the store.
pub const HOSTS: usize = 4;

/// Limits small enough for many snapshots in one simulation.
const LIMITS: Limits = Limits {
    kept_changes: 10,
    snapshot_interval: 4,
};

/// Time that passes in each step.
const STEP_DURATION: Duration = Duration::from_millis(20);

/// Additional time that passes in each round of a host.
const ROUND_DURATION: Duration = Duration::from_millis(200);

/// Rounds of every host in a `Settle` step, enough for all submissions to end.
const SETTLE_ROUNDS: usize = 60;

/// Time without faults within which every host must reach the newest version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Simulated host.
#[derive(Clone, Debug)]
pub(super) struct Host {
    cut: bool,
    frozen: bool,
    leaving: bool,
    pub(super) replica: Replica,
}

/// Simulated replicas, their store and the calls between them.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Version on which a host first based its change, by host and operation.
    pub(super) bases: BTreeMap<(usize, String), u64>,
    calls: Vec<Call>,
    pub(super) hosts: Vec<Host>,
    abandoned: Vec<Call>,
    now: Time,
    outage: bool,
    /// Operations that were reported as not accepted and not submitted again.
    pub(super) rejected: Vec<String>,
    pub(super) store: Store,
    pub(super) submissions: BTreeMap<String, u32>,
    pub(super) tickets: BTreeMap<u64, (usize, String)>,
    ticket: u64,
}

impl Default for Simulation {
    fn default() -> Self {
        Self {
            bases: BTreeMap::new(),
            calls: Vec::new(),
            hosts: (0..HOSTS).map(new_host).collect(),
            abandoned: Vec::new(),
            now: Time::ZERO,
            outage: false,
            rejected: Vec::new(),
            store: Store::new(usize::try_from(LIMITS.kept_changes).unwrap_or(usize::MAX)),
            submissions: BTreeMap::new(),
            tickets: BTreeMap::new(),
            ticket: 0,
        }
    }
}

impl Simulation {
    /// Returns the number of changes accepted so far.
    pub fn accepted(&self) -> u64 {
        self.store.version()
    }

    /// Executes a step.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the step violates.
    pub fn step(&mut self, step: &Step) -> Result<(), Violation> {
        self.now = self.now + STEP_DURATION;

        match *step {
            Step::Answer { call, fault } => self.answer(call, fault)?,
            Step::Crash { host } => self.crash(host % HOSTS),
            Step::Cut { host, on } => self.hosts[host % HOSTS].cut = on,
            Step::Finish { call } => {
                self.run(call, u8::MAX)?;
                self.answer(call, Fault::None)?;
            }
            Step::Freeze { host, on } => self.hosts[host % HOSTS].frozen = on,
            Step::Late { call } => self.run_late(call)?,
            Step::Leave { host, on } => self.hosts[host % HOSTS].leaving = on,
            Step::Outage { on } => self.outage = on,
            Step::Round { host } => self.round(host % HOSTS)?,
            Step::Run { call, parts } => self.run(call, parts)?,
            Step::Settle => self.settle()?,
            Step::Submit {
                host,
                operation,
                names_old_value,
            } => self.submit(host % HOSTS, operation, names_old_value)?,
            Step::Tick { host, millis } => {
                self.now = self.now + Duration::from_millis(millis);

                if !self.hosts[host % HOSTS].frozen {
                    self.tick(host % HOSTS)?;
                }
            }
        }

        self.check_rejected()
    }

    fn round(&mut self, host: usize) -> Result<(), Violation> {
        if self.hosts[host].frozen {
            return Ok(());
        }

        self.now = self.now + ROUND_DURATION;
        self.tick(host)?;

        for _ in 0..self.calls.len() {
            if self.calls[0].host == host {
                self.run(0, u8::MAX)?;
                self.answer(0, Fault::None)?;
            } else {
                self.calls.rotate_left(1);
            }
        }

        Ok(())
    }

    fn run(&mut self, call: usize, parts: u8) -> Result<(), Violation> {
        let Some(index) = call.checked_rem(self.calls.len()) else {
            return Ok(());
        };
        let Call { action, host, .. } = self.calls[index].clone();

        if let Action::AskPeer { after, peer } = action {
            self.calls[index].answer = self.ask_peer(host, &peer, after);
        } else if !self.outage {
            self.calls[index].answer = self.execute(host, &action, parts)?;
        }

        Ok(())
    }

    fn execute(
        &mut self,
        host: usize,
        action: &Action,
        parts: u8,
    ) -> Result<Option<Event>, Violation> {
        Ok(match action {
            Action::AskPeer { .. } | Action::Reply { .. } => None,
            Action::Create(change) => {
                let base = self.bases.get(&(host, change.operation.clone())).copied();
                Some(self.store.create(change, base.unwrap_or(change.version))?)
            }
            Action::List { after } => Some(self.store.list(*after)),
            Action::ReadSnapshot => Some(self.store.read_snapshot()),
            Action::Watch { after } => Some(self.store.watch(*after)),
            Action::WriteSnapshot { floor, snapshot } => {
                Some(self.store.write_snapshot(snapshot, *floor, parts))
            }
        })
    }

    fn ask_peer(&self, host: usize, peer: &id::Host, after: u64) -> Option<Event> {
        let target = (0..HOSTS).find(|index| name(*index) == *peer)?;

        if self.hosts[host].cut || self.hosts[target].cut {
            return None;
        }

        Some(Event::PeerAnswered {
            batch: self.hosts[target].replica.log().batch_after(after),
            peer: peer.clone(),
        })
    }

    fn answer(&mut self, call: usize, fault: Fault) -> Result<(), Violation> {
        let Some(index) = call.checked_rem(self.calls.len()) else {
            return Ok(());
        };

        if self.hosts[self.calls[index].host].frozen {
            return Ok(());
        }

        let call = self.calls.remove(index);
        let event = call.end(fault);

        if call.answer.is_none() && fault != Fault::Refused {
            self.abandoned.push(call.clone());
        }

        self.handle(call.host, event)
    }

    fn run_late(&mut self, call: usize) -> Result<(), Violation> {
        if let Some(index) = call.checked_rem(self.abandoned.len()) {
            let call = self.abandoned.remove(index);
            self.execute(call.host, &call.action, u8::MAX)?;
        }

        Ok(())
    }

    fn crash(&mut self, host: usize) {
        let (abandoned, remaining) = self.calls.drain(..).partition(|call| call.host == host);
        self.calls = remaining;
        self.abandoned.extend::<Vec<Call>>(abandoned);
        self.tickets.retain(|_, (owner, _)| *owner != host);
        self.bases.retain(|(owner, _), _| *owner != host);
        self.hosts[host] = new_host(host);
    }

    fn submit(
        &mut self,
        host: usize,
        operation: u16,
        names_old_value: bool,
    ) -> Result<(), Violation> {
        let (path, key) = [
            ("teams/a", "weight"),
            ("teams/a/x", "rate"),
            ("teams", "priority"),
        ][usize::from(operation % 3)];
        let tree = self.hosts[host].replica.log().tree();
        let draft = Draft {
            operation: format!("operation-{operation}"),
            author: "trial".into(),
            edits: vec![DraftEdit {
                path: path.into(),
                key: key.into(),
                old: names_old_value.then(|| tree.get(path, key).map(Into::into)),
                new: Some((operation % 10).to_string()),
            }],
        };
        let count = self.submissions.entry(draft.operation.clone()).or_default();
        *count += 1;
        self.rejected
            .retain(|rejected| *rejected != draft.operation);
        self.ticket += 1;
        let ticket = self.ticket;
        self.tickets.insert(ticket, (host, draft.operation.clone()));
        self.handle(host, Event::Submitted { draft, ticket })
    }

    fn tick(&mut self, host: usize) -> Result<(), Violation> {
        let domain = id::Domain::from("a-1");
        let names = (0..HOSTS).map(name).collect::<Vec<_>>();
        let live = (0..HOSTS).filter(|index| !self.hosts[*index].leaving);
        let ranked = watchers(live.map(|index| (&names[index], &domain)));
        let rank = ranked.iter().position(|watcher| **watcher == names[host]);
        let version = self.hosts[host].replica.log().version();
        let peers = (0..HOSTS)
            .filter(|peer| !self.hosts[host].cut && !self.hosts[*peer].cut)
            .filter(|peer| self.hosts[*peer].replica.log().version() > version)
            .map(name)
            .collect();

        self.handle(host, Event::WatcherRank(rank))?;
        self.handle(host, Event::Peers(peers))?;
        self.handle(host, Event::Tick)
    }

    fn handle(&mut self, host: usize, event: Event) -> Result<(), Violation> {
        let replica = &mut self.hosts[host].replica;
        let from = replica.log().version();
        let mut actions = Vec::new();
        replica.handle(self.now, event, &mut actions);
        let to = replica.log().version();

        if to < from {
            return VersionRegressedSnafu { from, host, to }.fail();
        }

        let differs = replica
            .log()
            .recent()
            .any(|change| self.store.change(change.version) != Some(change));

        if differs || self.store.tree(to) != Some(replica.log().tree()) {
            return DivergedSnafu { host, version: to }.fail();
        }

        for action in actions {
            if let Action::Reply { outcome, ticket } = action {
                self.check_reply(ticket, &outcome)?;
            } else {
                if let Action::Create(change) = &action {
                    let base = change.version - 1;
                    self.bases
                        .entry((host, change.operation.clone()))
                        .or_insert(base);
                }

                self.calls.push(Call {
                    action,
                    answer: None,
                    host,
                });
            }
        }

        Ok(())
    }

    fn settle(&mut self) -> Result<(), Violation> {
        self.outage = false;

        for host in &mut self.hosts {
            host.cut = false;
            host.frozen = false;
            host.leaving = false;
        }

        while !self.abandoned.is_empty() {
            self.run_late(0)?;
        }

        let mut newest = self.store.version();
        let mut since = self.now;

        for _ in 0..SETTLE_ROUNDS {
            for host in 0..HOSTS {
                self.round(host)?;
            }

            if self.store.version() != newest {
                newest = self.store.version();
                since = self.now;
            } else if self.now.since(since) >= CONVERGENCE_TIMEOUT {
                self.check_versions(newest)?;
            }
        }

        let mut unanswered = self.tickets.values();
        unanswered.next().map_or(Ok(()), |(_, operation)| {
            UnansweredSnafu { operation }.fail()
        })
    }
}

fn new_host(host: usize) -> Host {
    Host {
        cut: false,
        frozen: false,
        leaving: false,
        replica: Replica::new(LIMITS, host as u64),
    }
}

fn name(host: usize) -> id::Host {
    format!("h{host}").into()
}
