//! The part of the control thread that holds the leases on engine pools.

use {
    crate::{
        coordination::engines::Job,
        state::{
            clock::Time,
            endpoint::{Endpoint, Phase},
            fleet::member,
            id,
            lease::{self, Lease, Next, Role},
            pool, rendezvous,
            view::View,
        },
    },
    std::{collections::BTreeMap, sync::mpsc::Sender, time::Duration},
};

/// Hosts that compete for one pool's lease. Two are enough to replace a lost
/// holder, and keep the store's calls from growing with the fleet.
const CANDIDATES: usize = 2;

/// Time between two comparisons of a pool's engines with its settings.
const RECONCILE: Duration = Duration::from_secs(1);

/// An event for this part.
#[derive(Debug)]
pub enum Event {
    /// A read or write of a pool's lease object ended.
    Lease { event: lease::Event, pool: id::Pool },
    /// The engines of a pool were compared with its settings.
    Reconciled { pool: id::Pool },
    /// Asks for the pools whose engines this host may order.
    Held(Sender<Vec<id::Pool>>),
}

#[derive(Debug)]
struct Duty {
    lease: Lease,
    reconciled: Option<Time>,
    reconciling: bool,
}

/// The leases of one host.
#[derive(Debug)]
pub struct Leases {
    duties: BTreeMap<id::Pool, Duty>,
    incarnation: id::Incarnation,
    jobs: Sender<Job>,
}

impl Leases {
    /// Builds the part; `jobs` leads to the thread that reads, writes and
    /// orders.
    pub fn new(view: &View, jobs: Sender<Job>) -> Self {
        Self {
            duties: BTreeMap::new(),
            incarnation: view.local.incarnation,
            jobs,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, _view: &mut View) {
        match event {
            Event::Held(reply) => {
                let _ = reply.send(self.held(now));
            }
            Event::Lease { event, pool } => {
                if let Some(duty) = self.duties.get_mut(&pool) {
                    duty.lease.handle(now, event);
                }
            }
            Event::Reconciled { pool } => {
                if let Some(duty) = self.duties.get_mut(&pool) {
                    duty.reconciling = false;
                }
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        if self.incarnation != view.local.incarnation {
            // What an earlier incarnation held is not this one's.
            self.incarnation = view.local.incarnation;
            self.duties.clear();
        }

        self.follow(view);

        for (pool, duty) in &mut self.duties {
            let event = match view.local.phase {
                member::Phase::Leaving => lease::Event::Leaving,
                _ => lease::Event::Candidate(candidate(pool, view)),
            };
            duty.lease.handle(now, event);

            if let Some(job) = duty.job(now, pool, view) {
                let _ = self.jobs.send(job);
            }
        }
    }

    /// Keeps one duty for each pool whose engines have a model to load.
    fn follow(&mut self, view: &View) {
        let policy = &view.policy;
        self.duties
            .retain(|pool, _| policy.pools.get(pool).is_some_and(ordered));

        for (id, pool) in policy.pools.iter().filter(|(_, pool)| ordered(pool)) {
            self.duties.entry(id.clone()).or_insert_with(|| Duty {
                lease: Lease::new(view.local.host.clone(), self.incarnation, pool.fencing),
                reconciled: None,
                reconciling: false,
            });
        }
    }

    fn held(&self, now: Time) -> Vec<id::Pool> {
        self.duties
            .iter()
            .filter(|(_, duty)| duty.lease.role(now) != Role::Follower)
            .map(|(pool, _)| pool.clone())
            .collect()
    }
}

impl Duty {
    fn job(&mut self, now: Time, pool: &id::Pool, view: &View) -> Option<Job> {
        match self.lease.next(now) {
            Next::Read => return Some(Job::Read { pool: pool.clone() }),
            Next::Wait => {}
            Next::Write { expected, record } => {
                return Some(Job::Write {
                    expected,
                    pool: pool.clone(),
                    record,
                });
            }
        }

        let Role::Holder { token, until } = self.lease.role(now) else {
            return None;
        };

        let due = self
            .reconciled
            .is_none_or(|last| now.since(last) >= RECONCILE);

        if self.reconciling || !due {
            return None;
        }

        self.reconciling = true;
        self.reconciled = Some(now);

        Some(Job::Reconcile {
            engines: engines(pool, view),
            model: view.policy.pools.get(pool)?.model.clone()?,
            pool: pool.clone(),
            token,
            until,
        })
    }
}

fn engines(pool: &id::Pool, view: &View) -> Vec<Endpoint> {
    view.endpoints
        .iter()
        .filter(|endpoint| endpoint.pool == *pool && endpoint.phase == Phase::Live)
        .cloned()
        .collect()
}

fn ordered(pool: &pool::Pool) -> bool {
    pool.kind == pool::Kind::Engine && pool.model.is_some()
}

/// Whether this host is among those with the highest rendezvous hash for the
/// pool. Hosts with different views may disagree; the lease object decides.
fn candidate(pool: &id::Pool, view: &View) -> bool {
    let own = rendezvous::weight(pool, &view.local.host);

    view.members
        .iter()
        .filter(|member| member.phase == member::Phase::Alive)
        .filter(|member| rendezvous::weight(pool, &member.host) > own)
        .count()
        < CANDIDATES
}
