//! Follows the requests at engines until their answers end, and finds the parts of
//! prompts that crash engines.

use {
    super::{Balancer, Finding, Prompt, REPORT_TIMEOUT, Report},
    crate::state::{
        clock::Time,
        id,
        serving::{
            piece::JobId,
            quarantine::{self, HARMLESS_AGE, Lost, Quarantine, Status},
            roster::Entry,
        },
    },
    std::{collections::HashMap, time::Duration},
};

/// Time after which a request with a suspected part no longer keeps others waiting. An
/// engine that starts may need longer for its first event.
const TRIAL_TIME: Duration = Duration::from_millis(500);

/// Time from the beginning of an answer after which its request has shown that its parts
/// crash no engine at once.
const SETTLED_TIME: Duration = Duration::from_millis(150);

/// Interval at which requests are found whose end was not reported, or that have been
/// answered for long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// A request at an engine.
#[derive(Clone, Debug)]
struct Run {
    /// When its answer began.
    began: Option<Time>,
    endpoint: id::Endpoint,
    fingerprint: u64,
    incarnation: u64,
    /// Whether its engine was lost, though its host has not reported that yet.
    is_lost: bool,
    /// The parts of the prompt that other requests may share.
    parts: Vec<u64>,
    placed: Time,
    /// When the request has ended at the latest.
    until: Time,
}

impl Run {
    fn lost(&self) -> Lost {
        Lost {
            began: self.began,
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            placed: self.placed,
        }
    }
}

/// The requests at the engines of a service.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: HashMap<JobId, Run>,
    swept: Time,
}

impl Runs {
    /// Adds a request that was placed at an engine.
    pub fn add(&mut self, placed: Time, entry: &Entry, prompt: &Prompt) {
        let shared = quarantine::shared(&prompt.parts).iter();
        self.runs.insert(
            prompt.id.clone(),
            Run {
                began: None,
                endpoint: entry.endpoint.clone(),
                fingerprint: prompt.fingerprint,
                incarnation: entry.incarnation,
                is_lost: false,
                parts: shared.map(|part| part.id).collect(),
                placed,
                until: placed + prompt.terms.remaining.max(REPORT_TIMEOUT),
            },
        );
    }

    fn begin(&mut self, now: Time, id: &JobId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.began.get_or_insert(now);
        }
    }

    fn end(&mut self, id: &JobId) -> Option<Run> {
        self.runs.remove(id)
    }

    /// Returns whether a request with the part is at an engine.
    pub fn include(&self, part: u64) -> bool {
        self.with_part(part).next().is_some()
    }

    /// Returns whether a request with the part shows now if it is harmless: one was placed
    /// just now, and none is left that was placed before the last loss at `lost` or has
    /// been answered for a while.
    fn is_tried(&self, now: Time, part: u64, lost: Time) -> bool {
        let mut is_tried = false;

        for run in self.with_part(part) {
            let began = run.began;
            let is_settled = began.is_some_and(|began| now.since(began) >= SETTLED_TIME);

            if is_settled || run.placed < lost {
                return false;
            }

            is_tried |= now.since(run.placed) < TRIAL_TIME;
        }

        is_tried
    }

    fn with_part(&self, part: u64) -> impl Iterator<Item = &Run> {
        let runs = self.runs.values();
        runs.filter(move |run| !run.is_lost && run.parts.contains(&part))
    }

    /// Records that an engine's incarnation was lost, and returns its requests.
    fn lose(&mut self, now: Time, endpoint: &id::Endpoint, incarnation: u64) -> Vec<Lost> {
        let runs = self.runs.values_mut().filter(|run| {
            run.endpoint == *endpoint && run.incarnation == incarnation && run.placed <= now
        });
        runs.map(|run| {
            run.is_lost = true;
            run.lost()
        })
        .collect()
    }

    /// Forgets requests whose deadline has passed without a report of their end, and
    /// returns the parts of those that have turned out to be harmless since the last call.
    fn sweep(&mut self, now: Time) -> Vec<u64> {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return Vec::new();
        }

        let before = std::mem::replace(&mut self.swept, now);
        self.runs.retain(|_, run| now <= run.until);
        let harmless = self.runs.values().filter(|run| {
            let shown = run.began.map(|began| began + HARMLESS_AGE);
            !run.is_lost && shown.is_some_and(|shown| before < shown && shown <= now)
        });
        harmless.flat_map(|run| &run.parts).copied().collect()
    }
}

impl Balancer {
    /// Returns whether a request with the part is at an engine.
    pub fn awaits(&self, part: u64) -> bool {
        self.runs.include(part)
    }

    /// Returns the part for which a prompt has to wait: engines were lost under it, and
    /// another request shows now whether it is harmless.
    pub fn part_on_trial(&self, now: Time, prompt: &Prompt) -> Option<u64> {
        let mut parts = quarantine::shared(&prompt.parts).iter().map(|part| part.id);
        parts.find(|part| {
            let lost = self.evidence.suspected_since(*part);
            lost.is_some_and(|lost| self.runs.is_tried(now, *part, lost))
        })
    }

    /// Records how a prompt fared, and returns what that shows about its parts.
    /// Unknown prompts are ignored: another host placed them, or their report came
    /// too late.
    pub fn report(
        &mut self,
        now: Time,
        id: &JobId,
        report: Report,
        quarantine: &Quarantine,
    ) -> Finding {
        if report != Report::Started {
            self.release(now, id);
        }

        if let Some(pending) = self.pending.remove(id) {
            self.update_engine(now, &pending, report);
            self.record_contact(now, &pending.entry, report);
        }

        match report {
            Report::Started => {
                self.runs.begin(now, id);
                Finding::Nothing
            }
            Report::Lost => self.record_loss(now, id, quarantine),
            Report::Ended => self.record_answer(now, id, quarantine),
            Report::Abandoned | Report::Failed | Report::Full | Report::Unreachable => {
                self.runs.end(id);
                Finding::Nothing
            }
        }
    }

    fn record_answer(&mut self, now: Time, id: &JobId, quarantine: &Quarantine) -> Finding {
        let Some(run) = self.runs.end(id) else {
            return Finding::Nothing;
        };
        self.evidence.record_answer(&run.parts);
        let mut parts = run.parts.into_iter();
        let released = parts.find(|part| quarantine.status(now, *part) == Status::Probation);
        released.map_or(Finding::Nothing, Finding::Harmless)
    }

    /// Records that an engine was lost with a request. All of its requests are lost with
    /// it, whichever host reports first. An engine that is leaving ends without a crash.
    fn record_loss(&mut self, now: Time, id: &JobId, quarantine: &Quarantine) -> Finding {
        let Some(run) = self.runs.end(id) else {
            return Finding::Nothing;
        };
        let engine = self.engines.get_mut(&run.endpoint);
        let engine =
            engine.filter(|engine| engine.incarnation == run.incarnation && !engine.leaving);
        let Some(engine) = engine else {
            return Finding::Nothing;
        };
        let mut lost = vec![run.lost()];

        if !std::mem::replace(&mut engine.lost, true) {
            lost.extend(self.runs.lose(now, &run.endpoint, run.incarnation));
        }

        let harmful =
            self.evidence
                .record_loss(now, &run.endpoint, run.incarnation, &lost, quarantine);
        harmful.map_or(Finding::Nothing, Finding::Harmful)
    }

    /// Forgets requests without a report, and clears the parts of those that engines have
    /// been answering for long: a harmful part would have crashed them.
    pub(super) fn sweep_runs(&mut self, now: Time) {
        let harmless = self.runs.sweep(now);
        self.evidence.record_answer(&harmless);
    }

    /// Forgets a prompt.
    pub(super) fn abandon(&mut self, now: Time, id: &JobId) {
        self.runs.end(id);

        if let Some(pending) = self.pending.remove(id) {
            self.update_engine(now, &pending, Report::Abandoned);
        }
    }
}
