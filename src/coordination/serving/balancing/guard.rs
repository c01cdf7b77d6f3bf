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
    host: Rc<Host>,
    /// The service and the prompt; `None` once its end was reported.
    prompt: Option<(id::Pool, JobId)>,
}

impl PlacementGuard {
    /// Creates the guard of a prompt that the balancing host at `address` has placed.
    pub(super) fn new(host: &Rc<Host>, address: Option<SocketAddr>, prompt: Prompt) -> Self {
        Self {
            address,
            host: Rc::clone(host),
            prompt: Some((prompt.service, prompt.id)),
        }
    }

    /// Reports the first event.
    pub fn start(&self) {
        if let Some((service, id)) = &self.prompt {
            self.send(service, id, Report::Started);
        }
    }

    /// Returns whether the failure domain of an engine is evacuated.
    pub fn is_evacuated(&self, entry: &Entry) -> bool {
        self.host.view().evacuated.contains(&entry.domain)
    }

    /// Reports the end.
    pub fn report(mut self, report: Report) {
        self.end(report);
    }

    fn end(&mut self, report: Report) {
        if let Some((service, id)) = self.prompt.take() {
            self.send(&service, &id, report);
        }
    }

    fn send(&self, service: &id::Pool, id: &JobId, report: Report) {
        match self.address {
            Some(address) => {
                let links = &self.host.links;
                links.report_prompt(address, service, id, report, REPORT_TIMEOUT);
            }
            None => super::record(&self.host, service, id, report),
        }
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.end(Report::Abandoned);
    }
}
