//! RPC calls for the jobs of stage pools and the objects of the store.

use {
    crate::{
        state::{
            id,
            serving::{
                balance::{Answer, Prompt, Report},
                mirror::RelayedChanges,
                piece::{Job, JobId, Outcome, Output},
                revision::Revision,
            },
        },
        transport::{
            error::Error,
            link::{Reply, SendCall},
            links::{Links, TIMEOUT_MARGIN, unavailable},
            peer_capnp::peer,
            wire,
        },
    },
    std::{net::SocketAddr, time::Duration},
    tokio::sync::oneshot,
};

impl Links {
    /// Submits a job to the dispatcher at `address` and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, or the connection broke.
    pub async fn run_job(
        &self,
        address: SocketAddr,
        job: &Job,
        timeout: Duration,
    ) -> Result<Outcome, Error> {
        let job = job.clone();

        self.call(address, timeout, move |peer| {
            Box::pin(async move {
                let mut request = peer.run_job_request();
                wire::write_job(request.get().init_job(), &job);
                let response = request.send().promise.await?;
                wire::read_outcome(response.get()?.get_outcome()?)
            })
        })
        .await
    }

    /// Cancels a job at the dispatcher at `address`, without blocking.
    pub fn cancel_job(&self, address: SocketAddr, id: &JobId, timeout: Duration) {
        let id = id.clone();
        let done = move |result| log_failure("cancel_job", address, result);

        self.submit(address, timeout, done, move |peer| {
            Box::pin(async move {
                let mut request = peer.cancel_job_request();
                request.get().set_home(id.home.as_str());
                request.get().set_id(id.number);
                request.send().promise.await?;
                Ok(())
            })
        });
    }

    /// Releases outputs at the dispatcher at `address` that are no longer
    /// needed, without blocking.
    pub fn release_outputs(
        &self,
        address: SocketAddr,
        service: &id::Pool,
        outputs: Vec<Output>,
        timeout: Duration,
    ) {
        let service = service.clone();
        let done = move |result| log_failure("release_outputs", address, result);

        self.submit(address, timeout, done, move |peer| {
            Box::pin(async move {
                let mut request = peer.release_outputs_request();
                request.get().set_service(service.as_str());
                let length = u32::try_from(outputs.len()).unwrap_or(u32::MAX);
                wire::write_outputs(request.get().init_outputs(length), &outputs);
                request.send().promise.await?;
                Ok(())
            })
        });
    }

    /// Asks the balancing host at `address` for the engine of a prompt.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, or the connection broke.
    pub async fn place_prompt(
        &self,
        address: SocketAddr,
        prompt: &Prompt,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let prompt = prompt.clone();

        self.call(address, timeout, move |peer| {
            Box::pin(async move {
                let mut request = peer.place_prompt_request();
                wire::write_prompt(request.get().init_placement(), &prompt);
                let response = request.send().promise.await?;
                wire::read_placement(response.get()?)
            })
        })
        .await
    }

    /// Reports to the balancing host at `address` how a prompt fared, without
    /// blocking.
    pub fn report_prompt(
        &self,
        address: SocketAddr,
        service: &id::Pool,
        id: &JobId,
        report: Report,
        timeout: Duration,
    ) {
        let service = service.clone();
        let id = id.clone();
        let done = move |result| log_failure("report_prompt", address, result);

        self.submit(address, timeout, done, move |peer| {
            Box::pin(async move {
                let mut request = peer.report_prompt_request();
                request.get().set_service(service.as_str());
                request.get().set_home(id.home.as_str());
                request.get().set_id(id.number);
                request.get().set_result(report.name());
                request.send().promise.await?;
                Ok(())
            })
        });
    }

    /// Checks that the host at `address` replies.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrived in time, or the connection broke.
    pub async fn ping(&self, address: SocketAddr, timeout: Duration) -> Result<(), Error> {
        self.call(address, timeout, |peer| {
            Box::pin(async move {
                peer.ping_request().send().promise.await?;
                Ok(())
            })
        })
        .await
    }

    /// Fetches the objects of a kind that changed after a revision. The other
    /// host waits up to `wait` for the first change. Does not block; the reply
    /// is passed to `done` on the link thread.
    pub fn object_changes(
        &self,
        address: SocketAddr,
        kind: &'static str,
        revision: Revision,
        wait: Duration,
        done: impl FnOnce(Result<RelayedChanges, Error>) + Send + 'static,
    ) {
        let send = move |peer: peer::Client| -> Reply<RelayedChanges> {
            Box::pin(async move {
                let mut request = peer.object_changes_request();
                request.get().set_kind(kind);
                request.get().set_era(revision.era);
                request.get().set_revision(revision.number);
                let millis = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                request.get().set_wait_ms(millis);
                request.get().set_unpacks(true);
                let response = request.send().promise.await?;
                wire::read_changes(response.get()?.get_changes()?)
            })
        };
        let send = SendCall::Repeatable(Box::new(send));
        self.enqueue(address, wait + TIMEOUT_MARGIN, done, send);
    }

    async fn call<T: Send + 'static>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        send: impl FnOnce(peer::Client) -> Reply<T> + Send + 'static,
    ) -> Result<T, Error> {
        let (sender, receiver) = oneshot::channel();
        let done = move |result| drop(sender.send(result));
        self.submit(address, timeout, done, send);
        receiver.await.unwrap_or_else(|_| unavailable(address))
    }
}

fn log_failure(call: &str, address: SocketAddr, result: Result<(), Error>) {
    if let Err(error) = result {
        log::debug!(call = call, peer = address.to_string().as_str(); "call failed: {error}");
    }
}
