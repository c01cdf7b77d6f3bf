//! Passes the calls of one authenticated host on and sends the answers back.

use {
    crate::transport::{
        incoming::Incoming,
        link_server::{Activity, Deliver},
        peer_capnp::peer,
        wire,
    },
    std::{rc::Rc, sync::mpsc, time::Duration},
    tokio::{sync::oneshot, task::spawn_blocking, time::Instant},
};

/// Longest time for collecting settings changes.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(5);

/// The interface that an authenticated host calls.
pub struct PeerServer {
    activity: Activity,
    deliver: Deliver,
}

impl PeerServer {
    /// Passes calls to `deliver` and notes the time of each in `activity`.
    pub fn new(activity: Activity, deliver: Deliver) -> Self {
        Self { activity, deliver }
    }

    fn pass_on(&self, call: Incoming) {
        self.activity.set(Some(Instant::now()));
        (self.deliver)(call);
    }

    async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Incoming) -> capnp::Result<T> {
        let (sender, receiver) = oneshot::channel();
        self.pass_on(call(sender));
        receiver.await.map_err(|_| unanswered())
    }
}

impl peer::Server for PeerServer {
    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> capnp::Result<()> {
        let message = wire::read_message(params.get()?.get_message()?)?;
        let message = self.ask(|reply| Incoming::Probe { message, reply }).await?;
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
            .ask(|reply| Incoming::ProbeFor { reply, target })
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
        let verdict = self
            .ask(|reply| Incoming::Permit {
                nonce,
                reply,
                subject,
            })
            .await?;
        results.get().set_verdict(wire::write_verdict(verdict));
        Ok(())
    }

    async fn void(
        self: Rc<Self>,
        params: peer::VoidParams,
        mut results: peer::VoidResults,
    ) -> capnp::Result<()> {
        let subject = wire::read_subject(params.get()?.get_subject()?)?;
        let verdict = self.ask(|reply| Incoming::Void { reply, subject }).await?;
        results.get().set_verdict(wire::write_verdict(verdict));
        Ok(())
    }

    async fn changes_after(
        self: Rc<Self>,
        params: peer::ChangesAfterParams,
        mut results: peer::ChangesAfterResults,
    ) -> capnp::Result<()> {
        let version = params.get()?.get_version();
        let (reply, receiver) = mpsc::channel();
        self.pass_on(Incoming::ChangesAfter { reply, version });
        let changes = spawn_blocking(move || receiver.recv_timeout(CHANGES_TIMEOUT))
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or_else(unanswered)?;
        results.get().set_changes(&changes[..]);
        Ok(())
    }
}

fn unanswered() -> capnp::Error {
    capnp::Error::failed("the host is stopping or cannot answer".into())
}
