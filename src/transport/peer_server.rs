//! The RPC interface for an authenticated host. Dispatches its calls and
//! returns the replies.

use {
    crate::{
        state::serving::{piece::JobId, revision::Revision},
        transport::{
            link_server::{Activity, Deliver},
            peer_call::PeerCall,
            peer_capnp::peer,
            wire,
        },
    },
    std::{rc::Rc, sync::mpsc, time::Duration},
    tokio::{sync::oneshot, task::spawn_blocking, time::Instant},
};

/// Time limit for collecting settings changes.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(5);

/// The RPC interface that an authenticated host calls.
pub struct PeerServer {
    activity: Activity,
    deliver: Deliver,
}

impl PeerServer {
    /// Builds a server that passes calls to `deliver` and records the time of
    /// the latest one in `activity`.
    pub fn new(activity: Activity, deliver: Deliver) -> Self {
        Self { activity, deliver }
    }

    fn dispatch(&self, call: PeerCall) {
        self.activity.set(Some(Instant::now()));
        (self.deliver)(call);
    }

    async fn dispatch_and_wait<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<T>) -> PeerCall,
    ) -> capnp::Result<T> {
        let (sender, receiver) = oneshot::channel();
        self.dispatch(call(sender));
        receiver.await.map_err(|_| no_reply())
    }
}

impl peer::Server for PeerServer {
    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> capnp::Result<()> {
        let message = wire::read_message(params.get()?.get_message()?)?;
        let message = self
            .dispatch_and_wait(|reply| PeerCall::Probe { message, reply })
            .await?;
        wire::write_message(results.get().init_message(), &message);
        Ok(())
    }

    async fn probe_for(
        self: Rc<Self>,
        params: peer::ProbeForParams,
        mut results: peer::ProbeForResults,
    ) -> capnp::Result<()> {
        let target = wire::read_address(params.get()?.get_target()?)?;
        let reached = self
            .dispatch_and_wait(|reply| PeerCall::ProbeFor { reply, target })
            .await?;
        results.get().set_reached(reached);
        Ok(())
    }

    async fn permit(
        self: Rc<Self>,
        params: peer::PermitParams,
        mut results: peer::PermitResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let nonce = params.get_nonce();
        let subject = wire::read_subject(params.get_subject()?)?;
        let answer = self
            .dispatch_and_wait(|reply| PeerCall::Permit {
                nonce,
                reply,
                subject,
            })
            .await?;
        results
            .get()
            .set_verdict(wire::write_witness_answer(answer));
        Ok(())
    }

    async fn void(
        self: Rc<Self>,
        params: peer::VoidParams,
        mut results: peer::VoidResults,
    ) -> capnp::Result<()> {
        let subject = wire::read_subject(params.get()?.get_subject()?)?;
        let answer = self
            .dispatch_and_wait(|reply| PeerCall::Void { reply, subject })
            .await?;
        results
            .get()
            .set_verdict(wire::write_witness_answer(answer));
        Ok(())
    }

    async fn run_job(
        self: Rc<Self>,
        params: peer::RunJobParams,
        mut results: peer::RunJobResults,
    ) -> capnp::Result<()> {
        let job = wire::read_job(params.get()?.get_job()?)?;
        let outcome = self
            .dispatch_and_wait(|reply| PeerCall::RunJob { job, reply })
            .await?;
        wire::write_outcome(results.get().init_outcome(), &outcome);
        Ok(())
    }

    async fn cancel_job(
        self: Rc<Self>,
        params: peer::CancelJobParams,
        _results: peer::CancelJobResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let home = params.get_home()?.to_str()?.into();
        let number = params.get_id();
        self.dispatch(PeerCall::CancelJob(JobId { home, number }));
        Ok(())
    }

    async fn release_outputs(
        self: Rc<Self>,
        params: peer::ReleaseOutputsParams,
        _results: peer::ReleaseOutputsResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let outputs = wire::read_outputs(params.get_outputs()?)?;
        let service = params.get_service()?.to_str()?.into();
        self.dispatch(PeerCall::ReleaseOutputs { outputs, service });
        Ok(())
    }

    async fn place_prompt(
        self: Rc<Self>,
        params: peer::PlacePromptParams,
        mut results: peer::PlacePromptResults,
    ) -> capnp::Result<()> {
        let prompt = wire::read_prompt(params.get()?.get_placement()?)?;
        let answer = self
            .dispatch_and_wait(|reply| PeerCall::PlacePrompt { prompt, reply })
            .await?;
        wire::write_placement(results.get(), &answer);
        Ok(())
    }

    async fn report_prompt(
        self: Rc<Self>,
        params: peer::ReportPromptParams,
        _results: peer::ReportPromptResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let home = params.get_home()?.to_str()?.into();
        let number = params.get_id();
        let report = wire::read_report(params.get_result()?.to_str()?)?;
        let service = params.get_service()?.to_str()?.into();
        self.dispatch(PeerCall::ReportPrompt {
            id: JobId { home, number },
            report,
            service,
        });
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> capnp::Result<()> {
        self.activity.set(Some(Instant::now()));
        Ok(())
    }

    async fn object_changes(
        self: Rc<Self>,
        params: peer::ObjectChangesParams,
        mut results: peer::ObjectChangesResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let kind = params.get_kind()?.to_string()?;
        let revision = Revision::new(params.get_era(), params.get_revision());
        let unpacks = params.get_unpacks();
        let wait = Duration::from_millis(params.get_wait_ms().into());
        let changes = self
            .dispatch_and_wait(|reply| PeerCall::ObjectChanges {
                kind,
                reply,
                revision,
                wait,
            })
            .await?;
        wire::write_changes(results.get().init_changes(), &changes, unpacks);
        Ok(())
    }

    async fn changes_after(
        self: Rc<Self>,
        params: peer::ChangesAfterParams,
        mut results: peer::ChangesAfterResults,
    ) -> capnp::Result<()> {
        let version = params.get()?.get_version();
        let (reply, receiver) = mpsc::channel();
        self.dispatch(PeerCall::ChangesAfter { reply, version });
        let changes = spawn_blocking(move || receiver.recv_timeout(CHANGES_TIMEOUT))
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or_else(no_reply)?;
        results.get().set_changes(&changes[..]);
        Ok(())
    }
}

fn no_reply() -> capnp::Error {
    capnp::Error::failed("the host is stopping or cannot answer".into())
}
