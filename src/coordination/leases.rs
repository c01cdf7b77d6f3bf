//! Acquires and renews this host's leases on engine pools, in the control
//! thread.

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

/// Number of hosts that compete for one pool's lease. Two are enough to replace
/// a failed holder, and the number of store calls does not grow with the fleet.
const CANDIDATES_PER_POOL: usize = 2;

/// Interval at which the lease holder compares a pool's engines with its
/// settings.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// An event that concerns the leases.
#[derive(Debug)]
pub enum Event {
    /// A read or write of a pool's lease object has completed.
    Lease { event: lease::Event, pool: id::Pool },
    /// The comparison of a pool's engines with its settings has completed.
    Reconciled { pool: id::Pool },
    /// Requests the pools whose engines this host may send orders to.
    Held(Sender<Vec<id::Pool>>),
}

/// The lease on one pool and the state of its reconciliation.
#[derive(Debug)]
struct PoolLease {
    lease: Lease,
    last_reconcile: Option<Time>,
    reconciling: bool,
}

/// This host's leases, one for each pool with managed engines.
#[derive(Debug)]
pub struct Leases {
    pool_leases: BTreeMap<id::Pool, PoolLease>,
    incarnation: id::Incarnation,
    jobs: Sender<Job>,
}

impl Leases {
    /// Creates an empty set of leases. `jobs` is the queue of the thread that
    /// accesses the lease objects and sends orders to engines.
    pub fn new(view: &View, jobs: Sender<Job>) -> Self {
        Self {
            pool_leases: BTreeMap::new(),
            incarnation: view.local.incarnation,
            jobs,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event, _view: &mut View) {
        match event {
            Event::Held(reply) => {
                let _ = reply.send(self.held_pools(now));
            }
            Event::Lease { event, pool } => {
                if let Some(pool_lease) = self.pool_leases.get_mut(&pool) {
                    pool_lease.lease.handle(now, event);
                }
            }
            Event::Reconciled { pool } => {
                if let Some(pool_lease) = self.pool_leases.get_mut(&pool) {
                    pool_lease.reconciling = false;
                }
            }
        }
    }

    /// Updates the leases from the view and queues the jobs that are due.
    pub fn tick(&mut self, now: Time, view: &mut View) {
        if self.incarnation != view.local.incarnation {
            // Leases of an earlier incarnation do not carry over.
            self.incarnation = view.local.incarnation;
            self.pool_leases.clear();
        }

        self.sync_pools(view);

        for (pool, pool_lease) in &mut self.pool_leases {
            let event = match view.local.phase {
                member::Phase::Leaving => lease::Event::Leaving,
                _ => lease::Event::Candidate(is_candidate(pool, view)),
            };
            pool_lease.lease.handle(now, event);

            if let Some(job) = pool_lease.next_job(now, pool, view) {
                let _ = self.jobs.send(job);
            }
        }
    }

    /// Keeps exactly one entry for each pool with managed engines.
    fn sync_pools(&mut self, view: &View) {
        let policy = &view.policy;
        self.pool_leases
            .retain(|pool, _| policy.pools.get(pool).is_some_and(is_managed));

        for (id, pool) in policy.pools.iter().filter(|(_, pool)| is_managed(pool)) {
            self.pool_leases
                .entry(id.clone())
                .or_insert_with(|| PoolLease {
                    lease: Lease::new(view.local.host.clone(), self.incarnation, pool.fencing),
                    last_reconcile: None,
                    reconciling: false,
                });
        }
    }

    /// Returns the pools whose engines this host may send orders to.
    fn held_pools(&self, now: Time) -> Vec<id::Pool> {
        self.pool_leases
            .iter()
            .filter(|(_, pool_lease)| pool_lease.lease.role(now) != Role::Follower)
            .map(|(pool, _)| pool.clone())
            .collect()
    }
}

impl PoolLease {
    /// Returns the next job for the pool, if one is due.
    fn next_job(&mut self, now: Time, pool: &id::Pool, view: &View) -> Option<Job> {
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
            .last_reconcile
            .is_none_or(|last| now.since(last) >= RECONCILE_INTERVAL);

        if self.reconciling || !due {
            return None;
        }

        self.reconciling = true;
        self.last_reconcile = Some(now);

        Some(Job::Reconcile {
            engines: live_engines(pool, view),
            model: view.policy.pools.get(pool)?.model.clone()?,
            pool: pool.clone(),
            token,
            until,
        })
    }
}

/// Returns the pool's engines in the phase `Live`.
fn live_engines(pool: &id::Pool, view: &View) -> Vec<Endpoint> {
    view.endpoints
        .iter()
        .filter(|endpoint| endpoint.pool == *pool && endpoint.phase == Phase::Live)
        .cloned()
        .collect()
}

/// Returns whether the pool consists of engines that load a model on an order
/// from the lease holder.
fn is_managed(pool: &pool::Pool) -> bool {
    pool.kind == pool::Kind::Engine && pool.model.is_some()
}

/// Returns whether this host is among the [`CANDIDATES_PER_POOL`] with the
/// highest rendezvous hash for the pool. Hosts with different views may
/// disagree; the lease object decides.
fn is_candidate(pool: &id::Pool, view: &View) -> bool {
    let own = rendezvous::weight(pool, &view.local.host);

    view.members
        .iter()
        .filter(|member| member.phase == member::Phase::Alive)
        .filter(|member| rendezvous::weight(pool, &member.host) > own)
        .count()
        < CANDIDATES_PER_POOL
}
