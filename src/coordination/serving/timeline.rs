//! The steps of a request, for the log line that reports its end.

use {
    crate::{
        state::{clock::Time, id},
        transport::boot_clock,
    },
    std::{cell::RefCell, collections::BTreeMap, fmt, time::Duration},
};

/// Maximum number of steps that are kept for one request.
const MAX_STEPS: usize = 24;

/// A call to a dispatcher or an endpoint on behalf of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Step {
    begin: Time,
    /// How long the step took, its outcome and the failure domains in which it
    /// ran; `None` while it is in progress.
    end: Option<(Duration, String, String)>,
    what: String,
}

/// The steps of a request, in the order in which they began.
#[derive(Debug)]
pub struct Timeline {
    started: Time,
    steps: RefCell<Vec<Step>>,
}

impl Timeline {
    /// Creates the timeline of a request that started at `started`.
    pub const fn new(started: Time) -> Self {
        Self {
            started,
            steps: RefCell::new(Vec::new()),
        }
    }

    /// Records a step that begins now and returns its index.
    pub fn begin(&self, what: String) -> usize {
        let mut steps = self.steps.borrow_mut();
        let index = steps.len();

        if index < MAX_STEPS {
            steps.push(Step {
                begin: boot_clock::now(),
                end: None,
                what,
            });
        }

        index
    }

    /// Records the end of a step, its outcome and where it ran.
    pub fn end(&self, index: usize, outcome: &str, places: String) {
        if let Some(step) = self.steps.borrow_mut().get_mut(index) {
            let duration = boot_clock::now().since(step.begin);
            step.end = Some((duration, outcome.to_owned(), places));
        }
    }
}

impl fmt::Display for Timeline {
    /// Writes each step as `what begin+duration outcome@places`, with times in
    /// milliseconds. A step in progress ends with `+`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.borrow().iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            let begin = step.begin.since(self.started).as_millis();
            write!(formatter, "{separator}{} {begin}+", step.what)?;

            if let Some((duration, outcome, places)) = &step.end {
                write!(formatter, "{} {outcome}@{places}", duration.as_millis())?;
            }
        }

        Ok(())
    }
}

/// Returns the failure domains and the number of times that each occurs, for
/// example `a:2,b:1`.
pub fn count_domains<'a>(domains: impl Iterator<Item = &'a id::Domain>) -> String {
    let mut counts = BTreeMap::<&id::Domain, usize>::new();

    for domain in domains {
        *counts.entry(domain).or_default() += 1;
    }

    let counts = counts
        .iter()
        .map(|(domain, count)| format!("{}:{count}", domain.as_str()));
    counts.collect::<Vec<String>>().join(",")
}
