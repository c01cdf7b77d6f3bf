//! Admits prompts to engines that have room, and lets the others wait.

use {
    super::{
        Answer, Balancer, Choice, Later, Limits, Prompt,
        engine::Engine,
        flow::Flow,
        queue::{Queue, Step},
        room::Room,
    },
    crate::state::{
        clock::Time,
        id,
        serving::{piece::JobId, roster::Entry},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Delay after which the caller of a prompt that no engine can hold may retry. Only a
/// change of the engines helps.
const TOO_LARGE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Interval at which the room of requests whose end was not reported is released.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The room at the engines of a service, and the prompts that wait for it.
#[derive(Debug)]
pub(super) struct Admission {
    flow: Flow,
    /// The engines at which requests hold room.
    holders: HashMap<JobId, id::Endpoint>,
    pub limits: Limits,
    queue: Queue,
    /// The first prompt in order, and the engine that is kept for it until it has
    /// enough memory. Smaller prompts would take that forever.
    reserved: Option<(JobId, id::Endpoint)>,
    swept: Time,
}

/// The room at the engines of a service, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Occupancy {
    pub backlog: Duration,
    pub engines: usize,
    /// Number of engines without a free slot.
    pub full: usize,
    /// Number of requests that hold room.
    pub held: usize,
    pub waiting: usize,
}

impl Admission {
    fn new(limits: Limits) -> Self {
        Self {
            flow: Flow::default(),
            holders: HashMap::new(),
            limits,
            queue: Queue::default(),
            reserved: None,
            swept: Time::ZERO,
        }
    }

    /// Records that a prompt holds room at an engine.
    pub fn hold(&mut self, now: Time, room: &mut Room, entry: &Entry, prompt: &Prompt) {
        let work = self.limits.share(prompt);

        if !self.queue.contains(&prompt.id) {
            self.queue.record(now, prompt, work);
        }

        self.queue.remove(&prompt.id);

        if self.is_reserved_for(&prompt.id) {
            self.reserved = None;
        }

        room.hold(now, prompt, self.limits);
        self.holders
            .insert(prompt.id.clone(), entry.endpoint.clone());
    }

    fn is_reserved_for(&self, id: &JobId) -> bool {
        self.reserved.as_ref().is_some_and(|(first, _)| first == id)
    }

    /// Returns whether an engine is kept for another prompt.
    fn is_kept(&self, entry: &Entry, prompt: &Prompt) -> bool {
        let reserved = self.reserved.as_ref();
        reserved.is_some_and(|(first, engine)| *engine == entry.endpoint && *first != prompt.id)
    }
}

impl Balancer {
    /// Sets what each engine can hold, if that is counted. Requests that were placed
    /// before are not counted.
    pub fn count_room(&mut self, limits: Option<Limits>) {
        match (limits, &mut self.admission) {
            (Some(limits), Some(admission)) => admission.limits = limits,
            (Some(limits), None) => self.admission = Some(Admission::new(limits)),
            (None, _) => {
                self.admission = None;
                let engines = self.engines.values_mut();
                engines.for_each(|engine| engine.room = Room::default());
            }
        }
    }

    /// Answers a host that needs an engine for a prompt.
    pub fn answer<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>> + Clone,
        prompt: &Prompt,
    ) -> Answer {
        self.expire(now);
        self.sweep(now);
        let Some(admission) = &self.admission else {
            return self.place_at_once(now, entries, prompt);
        };

        if admission.limits.exclude(prompt) {
            return Choice::Refused(TOO_LARGE_RETRY_AFTER).into();
        }

        if !prompt.terms.waits {
            return self.place_at_once(now, entries, prompt);
        }

        let Some((entry, has_room)) = self.choose(now, entries.clone(), prompt) else {
            return self.place_at_cold_engine(now, entries, prompt);
        };
        let entry = Arc::clone(entry);

        if self.may_start(now, prompt, has_room) {
            self.record_placement(now, &entry, prompt);
            return self.with_backlog(Choice::Engine(entry.endpoint.clone()));
        }

        self.wait(now, prompt)
    }

    /// Returns the room at the engines and the prompts that wait for it.
    pub fn occupancy(&self) -> Option<Occupancy> {
        let admission = self.admission.as_ref()?;
        let engines = self.engines.values();
        let full = engines.filter(|engine| !engine.room.has_slot(admission.limits));

        Some(Occupancy {
            backlog: admission.queue.backlog(self.free_rate()),
            engines: self.engines.len(),
            full: full.count(),
            held: admission.holders.len(),
            waiting: admission.queue.len(),
        })
    }

    /// Returns whether an engine has room for a prompt; always while it is not counted.
    pub(super) fn has_room(&self, entry: &Entry, engine: &Engine, prompt: &Prompt) -> bool {
        let Some(admission) = &self.admission else {
            return true;
        };
        !admission.is_kept(entry, prompt) && engine.room.fits(prompt, admission.limits)
    }

    /// Releases the room of a request that has ended.
    pub(super) fn release(&mut self, now: Time, id: &JobId) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        let endpoint = admission.holders.remove(id);
        let engine = endpoint.and_then(|endpoint| self.engines.get_mut(&endpoint));

        if let Some(released) = engine.and_then(|engine| engine.room.release(now, id)) {
            admission.flow.record(released);
        }
    }

    /// Places a prompt whose host does not wait, also at an engine without room.
    fn place_at_once<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>> + Clone,
        prompt: &Prompt,
    ) -> Answer {
        match self.place(now, entries.clone(), prompt) {
            Some(entry) => self.with_backlog(Choice::Engine(entry.endpoint.clone())),
            None => self.place_at_cold_engine(now, entries, prompt),
        }
    }

    /// Places a prompt for which no engine may be sent one now: at the cold engine that
    /// may be sent one first.
    fn place_at_cold_engine<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
        prompt: &Prompt,
    ) -> Answer {
        match self.place_later(now, entries, prompt) {
            Later::Engine(entry, wait) => self.with_backlog(Choice::Later {
                engine: entry.endpoint.clone(),
                wait,
            }),
            Later::NoEngine => Choice::NoEngine.into(),
            Later::Refused(time) => Choice::Refused(time).into(),
        }
    }

    fn with_backlog(&self, choice: Choice) -> Answer {
        let rate = self.free_rate();
        let admission = self.admission.as_ref();
        Answer {
            backlog: admission.map_or(Duration::ZERO, |admission| admission.queue.backlog(rate)),
            choice,
        }
    }

    /// Returns whether a prompt gets room now: there is enough for it and for those that
    /// wait before it.
    fn may_start(&mut self, now: Time, prompt: &Prompt, has_room: bool) -> bool {
        let rate = self.free_rate();
        let Some(admission) = &mut self.admission else {
            return true;
        };

        if admission.queue.is_empty() && has_room {
            return true;
        }

        let work = admission.limits.share(prompt);

        if !admission.queue.contains(&prompt.id) {
            admission.queue.record(now, prompt, work);
        }

        admission.queue.ask(now, prompt, work);
        admission.queue.plan(now, rate);
        let position = admission.queue.position(&prompt.id);

        match position {
            0 => has_room || self.reserve(now, prompt),
            position => has_room && self.copies(now, prompt) > position as u64,
        }
    }

    /// Keeps the engine with the most free memory for the first prompt in order, if only
    /// memory is missing. Returns `false`.
    fn reserve(&mut self, now: Time, prompt: &Prompt) -> bool {
        let Some(admission) = &mut self.admission else {
            return false;
        };

        if !admission.is_reserved_for(&prompt.id) {
            let limits = admission.limits;
            let engines = self.engines.iter();
            let free = engines.filter(|(endpoint, engine)| {
                engine.is_usable(now)
                    && engine.room.has_slot(limits)
                    && !prompt.exclude.contains(endpoint)
            });
            let emptiest = free.min_by_key(|(_, engine)| engine.room.used());
            let endpoint = emptiest.map(|(endpoint, _)| endpoint.clone());
            admission.reserved = endpoint.map(|endpoint| (prompt.id.clone(), endpoint));
        }

        false
    }

    /// Returns for how many prompts such as this one there is room.
    fn copies(&self, now: Time, prompt: &Prompt) -> u64 {
        let Some(admission) = &self.admission else {
            return u64::MAX;
        };
        let engines = self.engines.values();
        let usable = engines.filter(|engine| engine.is_usable(now));
        usable
            .map(|engine| engine.room.copies(prompt, admission.limits))
            .sum()
    }

    fn wait(&mut self, now: Time, prompt: &Prompt) -> Answer {
        let rate = self.free_rate();
        let step = match &mut self.admission {
            Some(admission) => admission.queue.step(now, &prompt.id, rate),
            None => return Choice::NoEngine.into(),
        };
        self.with_backlog(match step {
            Step::Refuse(time) => Choice::Refused(time),
            Step::Wait(time) => Choice::Wait(time),
        })
    }

    /// Returns the shares of engines that become free in a second; 0 if it is unknown.
    fn free_rate(&self) -> f64 {
        let Some(admission) = &self.admission else {
            return 0.0;
        };

        if admission.queue.is_empty() {
            return 0.0;
        }

        let held = self.engines.values().map(|engine| engine.room.share());
        admission.flow.rate(held.sum())
    }

    /// Releases the room of requests whose end was not reported in time.
    fn sweep(&mut self, now: Time) {
        let Some(admission) = &mut self.admission else {
            return;
        };

        if now.since(admission.swept) < SWEEP_INTERVAL {
            return;
        }

        admission.swept = now;
        let engines = &self.engines;
        admission
            .holders
            .retain(|_, endpoint| engines.contains_key(endpoint));
        let reserved = admission.reserved.as_ref();

        if reserved.is_some_and(|(id, _)| !admission.queue.contains(id)) {
            admission.reserved = None;
        }

        let overdue = engines.values().flat_map(|engine| engine.room.overdue(now));
        let overdue = overdue.cloned().collect::<Vec<JobId>>();

        for id in overdue {
            self.release(now, &id);
        }
    }
}
