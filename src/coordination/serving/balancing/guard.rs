//! Reports how prompts fared at their engines.

use {
    crate::{
        coordination::serving::{crashes, host::Host},
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
    tokio::task::spawn_local,
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

    /// Reports the end.
    pub fn report(mut self, report: Report) {
        self.end(report);
    }

    /// Reports that the connection to the engine broke or was given up, and whether the
    /// engine has crashed, once that is known.
    pub fn report_disconnection(self, entry: &Entry) {
        // Engines of an evacuated domain are stopped: that shows nothing about the prompt.
        if self.host.view().evacuated.contains(&entry.domain) {
            return self.report(Report::Failed);
        }

        let result = crashes::next_result(&self.host, entry);

        spawn_local(async move {
            let crashed = result.await.unwrap_or(false);
            self.report(if crashed {
                Report::Lost
            } else {
                Report::Failed
            });
        });
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
