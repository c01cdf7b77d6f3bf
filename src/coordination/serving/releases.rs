//! Frees the outputs of stages at their endpoints.

use {
    crate::{
        coordination::serving::{host::Host, pools},
        state::{
            clock::Time,
            id,
            serving::{piece::Output, roster::Entry},
        },
        transport::{
            boot_clock,
            http::client::{Exchange, Failure},
        },
    },
    http_body_util::Full,
    hyper::Method,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time for which outputs to be freed are collected into one call.
const RELEASE_DELAY: Duration = Duration::from_millis(15);

/// Timeout of a call that frees outputs.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// Outputs that are about to be freed, by service and endpoint.
#[derive(Default)]
pub struct Releases {
    /// Whether a task that makes the calls is scheduled.
    sending: Cell<bool>,
    waiting: RefCell<BTreeMap<(id::Pool, id::Endpoint), Vec<String>>>,
}

/// Frees outputs at their endpoints. Outputs of one endpoint that are released
/// shortly after one another are freed in one call.
pub fn release(host: &Rc<Host>, service: &id::Pool, outputs: Vec<Output>) {
    {
        let mut releases = host.pools.releases.waiting.borrow_mut();

        for output in outputs {
            releases
                .entry((service.clone(), output.endpoint))
                .or_default()
                .push(output.handle);
        }
    }

    if !host.pools.releases.sending.replace(true) {
        let host = Rc::clone(host);
        spawn_local(async move {
            sleep(RELEASE_DELAY).await;
            host.pools.releases.sending.set(false);
            let releases = std::mem::take(&mut *host.pools.releases.waiting.borrow_mut());

            for ((service, endpoint), handles) in releases {
                spawn_local(free(Rc::clone(&host), service, endpoint, handles));
            }
        });
    }
}

async fn free(host: Rc<Host>, service: id::Pool, endpoint: id::Endpoint, handles: Vec<String>) {
    let Some(entry) = host.view().roster.get(&endpoint).map(Arc::clone) else {
        // The outputs disappeared with their endpoint.
        return;
    };
    let mut wait = Duration::ZERO;
    pools::with_dispatcher(&host, &service, |dispatcher| {
        wait = dispatcher.reserve(boot_clock::now(), &entry);
    });

    if !wait.is_zero() {
        sleep(wait).await;
    }

    if host.view().evacuated.contains(&entry.domain) {
        log::debug!(
            endpoint = endpoint.as_str();
            "outputs left to expire: the domain is evacuated"
        );
        return;
    }

    let endpoint_call = host.codec.release_call(&handles);
    let headers = host
        .codec
        .piece_headers(entry.endpoint.as_str(), RELEASE_TIMEOUT);
    let mut request = hyper::Request::new(Full::new(endpoint_call.body.into()));
    *request.method_mut() = Method::POST;
    *request.headers_mut() = headers;
    *request.uri_mut() = hyper::Uri::from_static(endpoint_call.path);

    let sent = boot_clock::now();
    let call = async {
        let mut exchange = host.client.send(&entry, request).await?;
        exchange.collect(pools::MAX_RESPONSE_BYTES).await?;
        finish(&host, &entry, exchange, sent)
    };

    match timeout(RELEASE_TIMEOUT, call).await {
        Ok(Ok(())) => {
            let mut actions = Vec::new();
            pools::with_dispatcher(&host, &service, |dispatcher| {
                dispatcher.mark_freed(boot_clock::now(), &endpoint, &handles, &mut actions);
            });
            pools::perform(&host, &service, actions);
        }
        Ok(Err(error)) => log::debug!(
            endpoint = endpoint.as_str();
            "cannot free outputs, which are left to expire: {error:?}"
        ),
        Err(_) => log::debug!(
            endpoint = endpoint.as_str();
            "timed out freeing outputs, which are left to expire"
        ),
    }
}

/// Ends an exchange whose body has been read. The connection of a refusal is closed,
/// since the refusal might be written once more.
fn finish(host: &Host, entry: &Entry, exchange: Exchange, sent: Time) -> Result<(), Failure> {
    let status = exchange.response.status();
    let answer = host.codec.read_answer(status, exchange.response.headers());
    host.note_answer(entry, &answer, sent);

    if !status.is_success() {
        return Err(Failure::Broken(format!(
            "the endpoint responded with {status}"
        )));
    }

    exchange.finish(answer.keep_alive, answer.closing);
    Ok(())
}
