//! Finds the parts of prompts that crash engines.
//!
//! An engine that crashes takes all of its requests with it, so a single crash does
//! not tell which of them caused it. A harmful part shows in a series: one engine
//! after the other is lost soon after it has begun to answer a request with this part,
//! and no such request is answered in full. Parts that harmful requests share with
//! others are cleared by the answers to these.

use {
    super::{Quarantine, Status},
    crate::state::{clock::Time, id},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// Number of engines lost in a row, without an answer in between, after which a part is
/// quarantined. One more is needed if it was answered before, and one more if its answers
/// had been going on for a while.
const MAX_LOSSES: usize = 3;

/// Number of losses without the request that is in most of them. A request that crashes
/// engines by itself is refused by its fingerprint, and the other requests with its parts
/// are sound.
const MIN_OTHER_LOSSES: usize = 2;

/// Minimum interval between two losses that count for a part, unless a request was sent
/// to the second engine after the first one was lost. Many engines may be lost at the
/// same moment for a reason of their own.
const LOSS_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a loss no longer counts.
const LOSS_LIFETIME: Duration = Duration::from_secs(300);

/// Time since the beginning of an answer after which its request is no longer
/// suspected: a harmful part crashes an engine that begins to answer.
pub const HARMLESS_AGE: Duration = Duration::from_secs(1);

/// Mean time between the beginnings of answers and the losses of their engines up to
/// which a part is more likely harmful than one that was answered for longer.
const TYPICAL_AGE: Duration = Duration::from_millis(250);

/// Maximum number of losses that are kept for a part.
const MAX_KEPT_LOSSES: usize = 16;

/// Maximum number of parts with losses. Those with the oldest losses are dropped.
const MAX_SUSPECTS: usize = 4096;

/// Maximum number of parts known to have been answered, after which all are
/// forgotten.
const MAX_ANSWERED: usize = 16_384;

/// A request that was lost with its engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lost {
    /// When its answer began, if it had begun.
    pub began: Option<Time>,
    /// The same for requests that are the same.
    pub fingerprint: u64,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<u64>,
    pub placed: Time,
}

impl Lost {
    /// Returns for how long the request had been answered.
    fn age(&self, now: Time) -> Duration {
        self.began.map_or(Duration::ZERO, |began| now.since(began))
    }
}

/// The loss of an engine with requests that have a part in common.
#[derive(Clone, Debug)]
struct Loss {
    /// Shortest time for which one of the requests had been answered.
    age: Duration,
    at: Time,
    /// Whether it belongs to another event than the loss before.
    counts: bool,
    engine: (id::Endpoint, u64),
    requests: BTreeSet<u64>,
}

/// The losses of engines under requests with a part, since it was last answered.
#[derive(Clone, Debug, Default)]
struct Series(Vec<Loss>);

impl Series {
    fn add(&mut self, now: Time, engine: &(id::Endpoint, u64), request: &Lost) {
        self.0.retain(|loss| now.since(loss.at) < LOSS_LIFETIME);
        let age = request.age(now);

        if let Some(loss) = self.0.iter_mut().find(|loss| loss.engine == *engine) {
            loss.age = loss.age.min(age);
            loss.requests.insert(request.fingerprint);
            return;
        }

        let mut counted = self.0.iter().filter(|loss| loss.counts);
        let counts =
            counted.all(|loss| request.placed >= loss.at || now.since(loss.at) >= LOSS_INTERVAL);

        if self.0.len() >= MAX_KEPT_LOSSES {
            self.0.remove(0);
        }

        self.0.push(Loss {
            age,
            at: now,
            counts,
            engine: engine.clone(),
            requests: BTreeSet::from([request.fingerprint]),
        });
    }

    /// Returns the number of losses that count.
    fn weight(&self) -> usize {
        self.0.iter().filter(|loss| loss.counts).count()
    }

    /// Returns the mean time between the beginnings of answers and the losses.
    fn mean_age(&self) -> Duration {
        let total = self.0.iter().map(|loss| loss.age).sum::<Duration>();
        total / u32::try_from(self.0.len().max(1)).unwrap_or(u32::MAX)
    }

    /// Returns whether the engines were lost as soon as they began to answer.
    fn is_typical(&self) -> bool {
        self.mean_age() <= TYPICAL_AGE
    }

    /// Returns whether the part was in all lost requests of another one, and in more at
    /// the same engines.
    fn exceeds(&self, other: &Self) -> bool {
        let mut more = false;
        let covers = other.0.iter().all(|loss| {
            let same = self.0.iter().find(|own| own.engine == loss.engine);
            same.is_some_and(|own| {
                more |= own.requests.len() > loss.requests.len();
                own.requests.is_superset(&loss.requests)
            })
        });
        covers && more
    }

    /// Returns whether different requests were lost, and not the same one again and again.
    fn has_different_requests(&self) -> bool {
        let with = |request: &u64| {
            let losses = self.0.iter();
            losses
                .filter(|loss| loss.requests.contains(request))
                .count()
        };
        let most = self.requests().iter().map(with).max().unwrap_or(0);
        self.0.len() - most >= MIN_OTHER_LOSSES
    }

    fn requests(&self) -> BTreeSet<u64> {
        let requests = self.0.iter().flat_map(|loss| &loss.requests);
        requests.copied().collect()
    }
}

/// A part that may be harmful.
struct Candidate<'a> {
    on_probation: bool,
    part: u64,
    /// The last position of the part in the prompts of the lost requests.
    position: usize,
    series: &'a Series,
}

/// The losses of engines by the parts of the requests that they had not answered.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Parts of requests that were answered.
    answered: HashSet<u64>,
    suspects: HashMap<u64, Series>,
}

impl Evidence {
    /// Records that an engine's incarnation was lost before it had answered these
    /// requests. Returns the part that has to be quarantined, if there is one. A part
    /// on probation is quarantined at once.
    pub fn record_loss(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        incarnation: u64,
        requests: &[Lost],
        quarantine: &Quarantine,
    ) -> Option<u64> {
        let engine = (endpoint.clone(), incarnation);
        let suspected = requests
            .iter()
            .filter(|request| request.age(now) < HARMLESS_AGE)
            .collect::<Vec<&Lost>>();

        for request in &suspected {
            for part in &request.parts {
                let series = self.suspects.entry(*part).or_default();
                series.add(now, &engine, request);
            }
        }

        let harmful = self.harmful(now, &suspected, quarantine);

        if let Some(part) = harmful {
            self.explain(part);
        }

        self.limit();
        harmful
    }

    /// Records that a request with these parts was answered in full.
    pub fn record_answer(&mut self, parts: &[u64]) {
        if self.answered.len() > MAX_ANSWERED {
            self.answered.clear();
        }

        for part in parts {
            self.suspects.remove(part);
            self.answered.insert(*part);
        }
    }

    /// Returns when the last engine was lost under a request with the part, if so many
    /// were lost that one request has to show that it is harmless before the others are
    /// sent. Engines that are lost at the same moment are too little for a quarantine.
    pub fn suspected_since(&self, part: u64) -> Option<Time> {
        let series = self.suspects.get(&part)?;
        let is_suspected = series.0.len() >= MAX_LOSSES && series.has_different_requests();
        let last = series.0.last().filter(|_| is_suspected);
        last.map(|loss| loss.at)
    }

    /// Returns the part that explains the losses best, if there are enough of them.
    fn harmful(&self, now: Time, requests: &[&Lost], quarantine: &Quarantine) -> Option<u64> {
        let candidates = self.candidates(now, requests, quarantine);
        let narrowest = candidates.iter().filter(|candidate| {
            candidate.on_probation || self.is_narrowest(candidate, &candidates)
        });
        // Of parts that always occur together, one that was never answered is more
        // likely than one that was, and the last one is rarest.
        let best = narrowest.max_by_key(|candidate| {
            (
                candidate.on_probation,
                candidate.series.is_typical(),
                !self.answered.contains(&candidate.part),
                candidate.position,
                Reverse(candidate.series.mean_age()),
            )
        })?;
        let is_harmful = best.on_probation || best.series.weight() >= self.max_losses(best);
        is_harmful.then_some(best.part)
    }

    /// Returns the parts of the requests that may be harmful.
    fn candidates(
        &self,
        now: Time,
        requests: &[&Lost],
        quarantine: &Quarantine,
    ) -> Vec<Candidate<'_>> {
        let mut positions = HashMap::<u64, usize>::new();

        for request in requests {
            for (position, part) in request.parts.iter().enumerate() {
                let last = positions.entry(*part).or_insert(position);
                *last = position.max(*last);
            }
        }

        let candidates = positions.into_iter().filter_map(|(part, position)| {
            Some(Candidate {
                on_probation: quarantine.status(now, part) == Status::Probation,
                part,
                position,
                series: self.suspects.get(&part)?,
            })
        });
        candidates
            .filter(|candidate| {
                let series = candidate.series;
                let is_long = series.weight() >= MAX_LOSSES && series.has_different_requests();
                candidate.on_probation || is_long
            })
            .collect()
    }

    /// Returns whether no other candidate explains the losses with fewer of the lost
    /// requests. One that was answered before does not take the place of one that was not.
    fn is_narrowest(&self, candidate: &Candidate, candidates: &[Candidate]) -> bool {
        let answered = |candidate: &Candidate| self.answered.contains(&candidate.part);
        let mut others = candidates.iter();
        !others.any(|other| {
            candidate.series.exceeds(other.series) && (answered(candidate) || !answered(other))
        })
    }

    fn max_losses(&self, candidate: &Candidate) -> usize {
        let answered = usize::from(self.answered.contains(&candidate.part));
        let untypical = usize::from(!candidate.series.is_typical());
        MAX_LOSSES + answered + untypical
    }

    /// Removes a part's losses from it and from all other parts.
    fn explain(&mut self, part: u64) {
        let explained = self.suspects.remove(&part).unwrap_or_default().0;

        self.suspects.retain(|_, series| {
            let losses = &mut series.0;
            losses.retain(|loss| explained.iter().all(|other| other.engine != loss.engine));
            !losses.is_empty()
        });
    }

    fn limit(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, series)| series.0.last().map(|loss| loss.at));
            let Some(part) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.suspects.remove(&part);
        }
    }
}
