//! Prompts at cold engines: each gets only some of them a second.

use {
    super::{Balancer, FIXED_TOKENS, Prompt, Report},
    crate::state::{
        clock::Time,
        serving::{cold::Fleet, roster::Entry},
    },
    std::{sync::Arc, time::Duration},
};

/// What happens to a prompt for which no engine has a slot now.
#[derive(Clone, Debug, PartialEq)]
pub enum Later<'a> {
    /// The engine has the first free slot, after a time.
    Engine(&'a Arc<Entry>, Duration),
    /// All engines are leaving or excluded.
    NoEngine,
    /// The first free slot, after this time, is too late for the prompt.
    Refused(Duration),
}

impl Balancer {
    /// Sets which hosts may send prompts to cold engines.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.cold.set_fleet(fleet);
    }

    /// Chooses the engine of a prompt for which [`Self::place`] found none: the one
    /// whose next slot is free first.
    pub fn place_later<'a>(
        &mut self,
        now: Time,
        entries: impl Iterator<Item = &'a Arc<Entry>>,
        prompt: &Prompt,
    ) -> Later<'a> {
        let open =
            entries.filter(|entry| !entry.leaving && !prompt.exclude.contains(&entry.endpoint));
        let first = open
            .map(|entry| {
                (
                    self.is_paused(now, entry),
                    self.cold.next(now, entry),
                    entry,
                )
            })
            .min_by_key(|(paused, at, _)| (*paused, *at));
        let Some((_, at, entry)) = first else {
            return Later::NoEngine;
        };
        let wait = at.since(now);

        if wait + self.usual_first_event(prompt) >= prompt.terms.remaining {
            return Later::Refused(wait);
        }

        self.record_placement(at, entry, prompt);
        Later::Engine(entry, wait)
    }

    /// Returns the engines that may be sent a prompt now. Returns none if only paused
    /// ones are among them while others have a slot soon.
    pub(super) fn with_slot<'a>(
        &self,
        now: Time,
        open: Vec<&'a Arc<Entry>>,
    ) -> Vec<&'a Arc<Entry>> {
        let (free, full) = open
            .into_iter()
            .partition::<Vec<&Arc<Entry>>, _>(|entry| self.cold.allows(now, entry));
        let is_paused = |entry: &&Arc<Entry>| self.is_paused(now, entry);

        if full.iter().any(|entry| !is_paused(entry)) && free.iter().all(is_paused) {
            return Vec::new();
        }

        free
    }

    /// Records what a report shows of whether an engine is starting. One that has
    /// crashed starts again.
    pub(super) fn record_contact(&mut self, now: Time, entry: &Entry, report: Report) {
        match report {
            Report::Lost | Report::Unreachable => self.cold.record_unreachable(now, entry),
            Report::Full | Report::Started => {
                self.cold.record_answer(now, entry);
            }
            Report::Abandoned | Report::Ended | Report::Failed => {}
        }
    }

    fn is_paused(&self, now: Time, entry: &Entry) -> bool {
        let engine = self.engines.get(&entry.endpoint);
        engine.is_none_or(|engine| engine.health.is_paused(now))
    }

    /// Returns the usual time until the first event of a prompt at an engine without
    /// other prompts.
    fn usual_first_event(&self, prompt: &Prompt) -> Duration {
        let tokens = prompt.parts.iter().map(|part| u64::from(part.tokens));
        let size = (tokens.sum::<u64>() + FIXED_TOKENS).ilog2();
        let usual = self.typical.range(..=size).next_back();
        let seconds = usual.map_or(0.0, |(_, seconds)| *seconds);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}
