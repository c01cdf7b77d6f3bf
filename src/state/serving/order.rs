//! Chooses which work of a pool is done on time when not all of it can be.
//!
//! Work is planned in the order of its latest start. Whenever the planned work
//! exceeds what the pool can do until a candidate's latest start, the candidate
//! whose delay costs callers least is demoted: that of the lowest priority, among
//! these one of the team that is furthest above its usual share, among these the
//! largest. This is the rule of Moore and Hodgson, which minimizes the number of
//! late jobs, extended by priorities and teams.

mod shares;

pub use shares::Shares;

use {
    crate::state::{clock::Time, id},
    shares::Demand,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

/// Rounding error of sums of work that does not count as an excess.
const TOLERANCE: f64 = 1e-6;

/// Work that may be planned.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Whether work was already spent on it; such a candidate is never demoted.
    pub begun: bool,
    pub deadline: Time,
    pub priority: u8,
    /// Latest start at which it meets its goal.
    pub start_by: Time,
    pub team: Option<&'a id::Team>,
    /// Remaining work, in units of the pool's capacity.
    pub work: f64,
}

/// What a pool can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Units that can start now.
    pub free: f64,
    /// Units a second.
    pub rate: f64,
}

impl Capacity {
    /// Returns the units that can start within a time.
    fn within(self, time: Duration) -> f64 {
        self.free.max(0.0) + self.rate * time.as_secs_f64()
    }
}

/// How a candidate is planned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It starts before its latest start.
    OnTime,
    /// It becomes late, so that others are on time.
    Demoted,
    /// Its latest start is past.
    Late,
}

/// Returns the verdicts in the order of the candidates. A candidate whose own
/// latest start is past is `Late`. The candidate under consideration may be the
/// one that is demoted. If the pool's rate is zero or unknown, none is demoted.
pub fn plan(
    now: Time,
    candidates: &[Candidate],
    capacity: Capacity,
    shares: &Shares,
) -> Vec<Verdict> {
    let verdicts = candidates.iter().map(|candidate| {
        if candidate.start_by < now {
            Verdict::Late
        } else {
            Verdict::OnTime
        }
    });
    let mut verdicts = verdicts.collect::<Vec<Verdict>>();
    let is_known = capacity.rate > 0.0 && capacity.rate.is_finite();

    if !is_known {
        return verdicts;
    }

    let mut plan = Plan::new(now, candidates, capacity, shares);
    plan.demote();
    plan.readmit();

    for step in plan.steps.iter().filter(|step| !step.is_planned) {
        verdicts[step.index] = Verdict::Demoted;
    }

    verdicts
}

/// A candidate that can be on time and has not begun.
#[derive(Debug)]
struct Step {
    /// Units that can start until its latest start, beside the work that has begun.
    capacity: f64,
    index: usize,
    is_planned: bool,
    priority: u8,
    /// Index of its team in [`Demand`].
    team: usize,
    work: f64,
}

/// The candidates that can be on time, by their latest start.
struct Plan<'a> {
    demand: Demand<'a>,
    steps: Vec<Step>,
}

impl<'a> Plan<'a> {
    fn new(
        now: Time,
        candidates: &[Candidate<'a>],
        capacity: Capacity,
        shares: &'a Shares,
    ) -> Self {
        let mut demand = Demand::new(shares);
        let mut begun = 0.0;
        let mut steps = Vec::with_capacity(candidates.len());

        for (index, candidate) in candidates.iter().enumerate() {
            let work = candidate.work.max(0.0);

            if candidate.begun {
                begun += work;
            }

            if candidate.start_by < now {
                continue;
            }

            let team = demand.add(candidate.team, work);

            if !candidate.begun {
                steps.push(Step {
                    capacity: capacity.within(candidate.start_by.since(now)),
                    index,
                    is_planned: true,
                    priority: candidate.priority,
                    team,
                    work,
                });
            }
        }

        for step in &mut steps {
            step.capacity -= begun;
        }

        steps.sort_by_key(|step| {
            let candidate = &candidates[step.index];
            (candidate.start_by, candidate.priority, step.index)
        });
        Self { demand, steps }
    }

    /// Demotes candidates until the others can be on time.
    fn demote(&mut self) {
        let mut planned = Planned::default();
        let mut work = 0.0;

        for position in 0..self.steps.len() {
            let step = &self.steps[position];
            let capacity = step.capacity;
            work += step.work;
            planned.push(position, step);

            while work > capacity + TOLERANCE {
                let Some(cheapest) = planned.pop(&self.demand) else {
                    break;
                };
                let step = &mut self.steps[cheapest];
                step.is_planned = false;
                work -= step.work;
                self.demand.remove(step.team, step.work);
            }
        }
    }

    /// Plans demoted candidates that fit after all: the demotion of a large one
    /// may leave room for those that were demoted before it.
    fn readmit(&mut self) {
        let mut room = Vec::with_capacity(self.steps.len());
        let mut work = 0.0;

        for step in &self.steps {
            work += if step.is_planned { step.work } else { 0.0 };
            room.push(step.capacity - work);
        }

        let demoted = (0..self.steps.len()).filter(|&position| !self.steps[position].is_planned);
        let mut demoted = demoted.collect::<Vec<usize>>();
        demoted.sort_by_key(|&position| {
            let step = &self.steps[position];
            let excess = units(self.demand.excess(step.team));
            (step.priority, excess, units(step.work), position)
        });

        for position in demoted {
            let work = self.steps[position].work;
            let fits = |(offset, room): (usize, &f64)| {
                let is_bound = offset == 0 || self.steps[position + offset].is_planned;
                !is_bound || work <= *room + TOLERANCE
            };

            if room[position..].iter().enumerate().all(fits) {
                self.steps[position].is_planned = true;

                for room in &mut room[position..] {
                    *room -= work;
                }
            }
        }
    }
}

/// Positions of planned steps by priority and team, each with its work.
#[derive(Default)]
struct Planned(BTreeMap<Reverse<u8>, BTreeMap<usize, BinaryHeap<(u64, usize)>>>);

impl Planned {
    fn push(&mut self, position: usize, step: &Step) {
        let teams = self.0.entry(Reverse(step.priority)).or_default();
        let steps = teams.entry(step.team).or_default();
        steps.push((units(step.work), position));
    }

    /// Removes the step whose delay costs least. Among equal ones, this is the one
    /// with the latest start furthest away, so that a new candidate does not
    /// displace one that has waited.
    fn pop(&mut self, demand: &Demand) -> Option<usize> {
        let mut priority = self.0.first_entry()?;
        let teams = priority.get_mut();
        let cost = |(team, steps): (&usize, &BinaryHeap<(u64, usize)>)| {
            let largest = steps.peek().copied();
            (units(demand.excess(*team)), largest, *team)
        };
        let (.., team) = teams.iter().map(cost).max()?;
        let steps = teams.get_mut(&team)?;
        let (_, position) = steps.pop()?;

        if steps.is_empty() {
            teams.remove(&team);
        }

        if teams.is_empty() {
            priority.remove();
        }

        Some(position)
    }
}

/// Returns work as a whole number that can be compared, in thousandths of a unit.
fn units(work: f64) -> u64 {
    (work * 1000.0) as u64
}
