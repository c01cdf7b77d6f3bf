//! One try of a request at one endpoint.

use {
    crate::{
        coordination::serving::{host::Host, request::Request},
        protocol::edge::{Answer, Forward},
        state::{clock::Time, serving::roster::Entry},
        transport::{
            boot_clock,
            http::client::{Exchange, Failure},
        },
    },
    http_body_util::Full,
    std::{rc::Rc, sync::Arc},
};

/// How a try ended.
pub enum Tried {
    /// The endpoint answers; the body is still to be read.
    Answered(Box<Open>),
    /// Nobody knows whether the request ran.
    Broken(String),
    /// The endpoint refuses, since an input is gone.
    InputGone,
    /// The endpoint refuses, since it is full or leaves.
    NotRun,
    /// Another endpoint has the address.
    Replaced,
    /// Nothing was sent.
    Unreachable(String),
}

/// An endpoint's answer in progress.
pub struct Open {
    pub answer: Answer,
    pub exchange: Exchange,
    pub running: Running,
}

/// A request that runs at an endpoint, for its load.
pub struct Running {
    pub entry: Arc<Entry>,
    host: Rc<Host>,
    pub sent: Time,
}

impl Running {
    fn new(host: &Rc<Host>, entry: &Arc<Entry>) -> Self {
        host.placement.borrow_mut().begin(entry);
        Self {
            entry: Arc::clone(entry),
            host: Rc::clone(host),
            sent: boot_clock::now(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.host.placement.borrow_mut().end(&self.entry);
    }
}

/// What a request is sent with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Extra<'a> {
    pub inputs: &'a [String],
    pub last_event: Option<&'a str>,
}

/// Sends a request to an endpoint and waits for the head of the answer.
pub async fn attempt(
    host: &Rc<Host>,
    request: &Request,
    entry: &Arc<Entry>,
    extra: Extra<'_>,
) -> Tried {
    let running = Running::new(host, entry);
    let forward = Forward {
        endpoint: entry.endpoint.as_str(),
        inputs: extra.inputs,
        last_event: extra.last_event,
        priority: request.call.prompt.as_ref().map(|_| request.priority),
        remaining: request.allowance(),
        team: request.team.as_ref().map(|team| team.as_str()),
    };
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = host.edge.forward(&request.headers, &forward);
    let before = request.may_have_run.replace(true);
    *request.endpoint.borrow_mut() = Some(entry.endpoint.clone());
    let result = host.client.send(entry, message).await;
    let tried = classify(host, request, running, result);

    if matches!(
        tried,
        Tried::InputGone | Tried::NotRun | Tried::Replaced | Tried::Unreachable(_)
    ) {
        request.may_have_run.set(before);
    }

    if !matches!(tried, Tried::Unreachable(_)) {
        request.attempts.set(request.attempts.get() + 1);
    }

    log_failure(request, entry, &tried);
    tried
}

fn classify(
    host: &Rc<Host>,
    request: &Request,
    running: Running,
    result: Result<Exchange, Failure>,
) -> Tried {
    let now = boot_clock::now();
    let mut placement = host.placement.borrow_mut();
    let health = placement.health_mut(&running.entry);

    let exchange = match result {
        Ok(exchange) => exchange,
        Err(Failure::Unreachable(message)) => {
            health.record_unreachable(now);
            drop(placement);
            return Tried::Unreachable(message);
        }
        Err(Failure::Broken(message)) => {
            health.record_failure(now);
            drop(placement);
            return Tried::Broken(message);
        }
    };
    let response = &exchange.response;
    let answer = host.edge.answer(response.status(), response.headers());
    let foreign = answer
        .attempt
        .as_ref()
        .is_some_and(|attempt| Some(attempt) != request.call.attempt.as_ref());

    if foreign {
        drop(placement);
        return Tried::Broken("the answer belongs to another request".into());
    }

    let refused = if answer.replaced {
        health.record_unreachable(now);
        Some(Tried::Replaced)
    } else if answer.input_gone {
        Some(Tried::InputGone)
    } else if answer.not_run {
        health.record_full(now);
        Some(Tried::NotRun)
    } else {
        None
    };
    drop(placement);

    if let Some(refused) = refused {
        spawn_finish(exchange, answer);
        return refused;
    }

    Tried::Answered(Box::new(Open {
        answer,
        exchange,
        running,
    }))
}

/// Reads the rest of a refusal, so that its connection can be used again.
fn spawn_finish(mut exchange: Exchange, answer: Answer) {
    /// Longest body of a refusal.
    const REFUSAL_BYTES: usize = 64 * 1024;

    tokio::task::spawn_local(async move {
        if exchange.collect(REFUSAL_BYTES).await.is_ok() {
            exchange.finish(answer.keep_alive, answer.closing);
        }
    });
}

fn log_failure(request: &Request, entry: &Entry, tried: &Tried) {
    let (outcome, detail) = match tried {
        Tried::Answered(_) => return,
        Tried::Broken(message) => ("broken", message.as_str()),
        Tried::InputGone => ("input_gone", ""),
        Tried::NotRun => ("not_run", ""),
        Tried::Replaced => ("replaced", ""),
        Tried::Unreachable(message) => ("unreachable", message.as_str()),
    };
    log::info!(
        request = request.id(),
        endpoint = entry.endpoint.as_str(),
        service = entry.service.as_str(),
        outcome = outcome,
        attempt = request.attempts.get(),
        left_ms = request.remaining().as_millis();
        "attempt failed: {detail}"
    );
}
