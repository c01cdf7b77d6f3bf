//! Reports how prompts fared at their engines.

use {
    crate::{
        coordination::serving::host::Host,
        state::{
            id,
            serving::{
                balance::{Prompt, Report},
                piece::JobId,
                roster::Entry,
            },
        },
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Timeout of a report, which needs no answer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reports to the balancing host how a prompt fared, at the latest on drop.
pub struct PlacementGuard {
    /// Address of the balancing host; `None` stands for this host.
    address: Option<SocketAddr>,
    /// Whether that host counts the room of the request until its end.
    counted: bool,
    host: Rc<Host>,
    /// The service and the prompt; `None` once the report was sent.
    prompt: Option<(id::Pool, JobId)>,
    /// Whether the engine has sent its first event.
    started: bool,
}

impl PlacementGuard {
    /// Creates the guard of a prompt that the balancing host at `address` has placed.
    /// `counted` says whether that host counts its room until the end.
    pub(super) fn new(
        host: &Rc<Host>,
        address: Option<SocketAddr>,
        prompt: Prompt,
        counted: bool,
    ) -> Self {
        Self {
            address,
            counted,
            host: Rc::clone(host),
            prompt: Some((prompt.service, prompt.id)),
            started: false,
        }
    }

    /// Reports the first event. Returns the guard if the end has to be reported, too.
    pub fn start(mut self) -> Option<Self> {
        if !self.counted {
            self.send(Report::Started);
            return None;
        }

        let prompt = self.prompt.clone();
        self.send(Report::Started);
        self.prompt = prompt;
        self.started = true;
        Some(self)
    }

    /// Returns whether the failure domain of an engine is evacuated.
    pub fn is_evacuated(&self, entry: &Entry) -> bool {
        self.host.view().evacuated.contains(&entry.domain)
    }

    /// Sends the report.
    pub fn report(mut self, report: Report) {
        self.send(report);
    }

    fn send(&mut self, report: Report) {
        let Some((service, id)) = self.prompt.take() else {
            return;
        };

        match self.address {
            Some(address) => {
                let links = &self.host.links;
                links.report_prompt(address, &service, &id, report, REPORT_TIMEOUT);
            }
            None => super::record(&self.host, &service, &id, report),
        }
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.send(if self.started {
            Report::Ended
        } else {
            Report::Abandoned
        });
    }
}
