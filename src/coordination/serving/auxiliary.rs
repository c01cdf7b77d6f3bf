//! The auxiliary HTTP listeners of a host: the directory of callers' addresses,
//! the readiness check and the metrics.

use {
    crate::{
        coordination::serving::{explain, host::Host},
        state::{clock::Time, id, serving::directory},
        transport::{
            boot_clock,
            http::{
                body::Body,
                server::{self, Connections, Limits, ListenerState},
                timing::Bounds,
            },
        },
    },
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
    },
    std::{
        cell::Cell,
        net::{IpAddr, SocketAddr, TcpListener},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::watch, task::spawn_local},
};

/// Bounds of connections to the directory, the metrics and the readiness
/// check. Their requests are short.
const AUXILIARY_BOUNDS: Bounds = Bounds {
    header_bytes: 16 * 1024,
    header_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(5),
};

/// Maximum number of connections to one of these listeners.
const MAX_CONNECTIONS: usize = 256;

/// Interval between log lines about the answers of the directory.
const DIRECTORY_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs how many answers the directory has given, at most once per interval.
#[derive(Debug, Default)]
pub struct DirectoryLog {
    answers: Cell<u64>,
    logged: Cell<Time>,
}

impl DirectoryLog {
    fn record(&self, kind: &str, addresses: usize) {
        let now = boot_clock::now();
        self.answers.set(self.answers.get() + 1);

        if now.since(self.logged.get()) >= DIRECTORY_LOG_INTERVAL {
            self.logged.set(now);
            log::info!(
                kind = kind,
                addresses = addresses,
                answers = self.answers.take();
                "directory answers"
            );
        }
    }
}

/// Answers a request of the caller with the given address.
type Answer = fn(&Host, &Request<Incoming>, IpAddr) -> Response<Body>;

/// Starts to serve the directory, the readiness check and, if it has a
/// listener, the metrics.
pub fn serve(
    host: &Rc<Host>,
    directory: TcpListener,
    ready: TcpListener,
    metrics: Option<TcpListener>,
) {
    let (_, open_state) = watch::channel(ListenerState::Open);
    let limits = Limits {
        bounds: Rc::new(Cell::new(AUXILIARY_BOUNDS)),
        callers: None,
        connections: MAX_CONNECTIONS,
    };
    let listen = |listener, answer: Answer| {
        let host = Rc::clone(host);
        let handler = move |request: Request<Incoming>, caller: SocketAddr| {
            let response = answer(&host, &request, caller.ip());
            async move { response }
        };
        spawn_local(server::run(
            listener,
            limits.clone(),
            open_state.clone(),
            Connections::default(),
            handler,
        ));
    };

    listen(directory, answer_directory);
    listen(ready, answer_ready);

    if let Some(metrics) = metrics {
        listen(metrics, answer_metrics);
    }
}

/// Sets the metrics of what the host knows now.
fn set_gauges(host: &Host) {
    let view = host.view();
    let now = boot_clock::now();
    let cold = host.placement.borrow().cold(now, view.roster.entries());
    host.tally
        .set("evacuated_domains", view.evacuated.len(), &[]);
    host.tally.set("cold_endpoints", cold, &[]);
}

fn answer_directory(host: &Host, request: &Request<Incoming>, caller: IpAddr) -> Response<Body> {
    let uri = request.uri();
    let Some(address_query) = host
        .codec
        .address_query(uri.path(), uri.query().unwrap_or(""))
    else {
        return text(StatusCode::NOT_FOUND, "no such path\n".into());
    };
    let view = host.view();
    let domain = address_query.domain.as_deref().map(id::Domain::from);
    let ready = view.is_ready().then_some(&view.local);
    let members = view.members.iter().chain(ready);
    let weighted = host.settings().weighted_directory;
    let addresses = if weighted {
        directory::weighted_addresses(members, caller)
    } else {
        directory::addresses(members, domain.as_ref())
    };
    let kind = if weighted { "weighted" } else { "by_domain" };
    host.tally.count("directory_answers", &[("kind", kind)]);
    host.directory_log.record(kind, addresses.len());

    if addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no host is ready\n".into());
    }

    let body = host
        .codec
        .address_answer(&addresses, host.settings().keep_addresses);
    let mut response = Response::new(Body::buffered(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn answer_metrics(host: &Host, request: &Request<Incoming>, _: IpAddr) -> Response<Body> {
    let uri = request.uri();

    if uri.path() != explain::PATH {
        set_gauges(host);
        return text(StatusCode::OK, host.tally.render());
    }

    let answer = explain::answer(host, uri.query().unwrap_or(""));
    match serde_json::to_string(&answer) {
        Ok(body) => text(StatusCode::OK, body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn answer_ready(host: &Host, request: &Request<Incoming>, _: IpAddr) -> Response<Body> {
    let path_matches = request.uri().path() == host.codec.ready_path();
    let ready = host.view().is_ready() && host.stop().is_none();

    match (path_matches, ready) {
        (false, _) => text(StatusCode::NOT_FOUND, "no such path\n".into()),
        (true, true) => text(StatusCode::OK, "ready\n".into()),
        (true, false) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
    }
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::buffered(text));
    *response.status_mut() = status;
    response
}
