//! An HTTP client for the object API that counts calls by kind.

use {
    crate::transport::Error,
    serde::{Deserialize, Serialize},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
    ureq::{
        Agent, AsSendBody, Body, Timeout,
        http::{Method, Request, Response},
    },
};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response body in bytes. A list of many large objects is
/// read in pages.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Delete,
    Get,
    List,
    Put,
    Watch,
}

/// Counters of calls by kind. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct CallCounters(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    delete: AtomicU64,
    get: AtomicU64,
    list: AtomicU64,
    put: AtomicU64,
    watch: AtomicU64,
}

/// A snapshot of the call counters.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    pub delete: u64,
    pub get: u64,
    pub list: u64,
    pub put: u64,
    pub watch: u64,
}

impl CallCounters {
    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> Counts {
        Counts {
            delete: self.0.delete.load(Relaxed),
            get: self.0.get.load(Relaxed),
            list: self.0.list.load(Relaxed),
            put: self.0.put.load(Relaxed),
            watch: self.0.watch.load(Relaxed),
        }
    }

    fn count(&self, kind: Kind) {
        let counter = match kind {
            Kind::Delete => &self.0.delete,
            Kind::Get => &self.0.get,
            Kind::List => &self.0.list,
            Kind::Put => &self.0.put,
            Kind::Watch => &self.0.watch,
        };
        counter.fetch_add(1, Relaxed);
    }
}

/// A call to the object API.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    pub body: &'a [u8],
    /// Name and value of a header with a condition.
    pub header: Option<(&'a str, &'a str)>,
    pub kind: Kind,
    /// Path and query.
    pub target: &'a str,
    pub timeout: Duration,
}

/// A response with any status.
#[derive(Debug)]
pub struct Answer {
    pub body: Vec<u8>,
    pub status: u16,
}

/// A client with pooled connections to the object API.
#[derive(Clone, Debug)]
pub struct ObjectApi {
    address: Arc<str>,
    agent: Agent,
    calls: CallCounters,
}

impl ObjectApi {
    /// Builds a client for the object API at an address such as
    /// `http://127.0.0.1:7200`.
    pub fn new(address: &str, calls: CallCounters) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();

        Self {
            address: address.trim_end_matches('/').into(),
            agent: config.into(),
            calls,
        }
    }

    /// Returns the address of the object API.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Makes a call and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if nothing was sent, and another error if the
    /// call may have been executed.
    pub fn send(&self, call: Call) -> Result<Answer, Error> {
        self.calls.count(call.kind);
        self.execute(call)
            .map_err(|error| self.classify_error(call, error))
    }

    fn execute(&self, call: Call) -> Result<Answer, ureq::Error> {
        let method = match call.kind {
            Kind::Delete => Method::DELETE,
            Kind::Get | Kind::List | Kind::Watch => Method::GET,
            Kind::Put => Method::PUT,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{}", self.address, call.target));

        if let Some((name, value)) = call.header {
            request = request.header(name, value);
        }

        let mut response = if call.kind == Kind::Put {
            self.run(request.body(call.body)?, call.timeout)?
        } else {
            self.run(request.body(())?, call.timeout)?
        };
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()?;

        Ok(Answer {
            body,
            status: response.status().as_u16(),
        })
    }

    fn run(
        &self,
        request: Request<impl AsSendBody>,
        timeout: Duration,
    ) -> Result<Response<Body>, ureq::Error> {
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        self.agent.run(request)
    }

    fn classify_error(&self, call: Call, error: ureq::Error) -> Error {
        let address = self.address.to_string();

        match error {
            ureq::Error::ConnectionFailed
            | ureq::Error::HostNotFound
            | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => Error::Connect {
                address,
                message: error.to_string(),
            },
            ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Error::Connect {
                    address,
                    message: error.to_string(),
                }
            }
            ureq::Error::Timeout(_) => Error::Timeout {
                address,
                millis: u64::try_from(call.timeout.as_millis()).unwrap_or(u64::MAX),
            },
            error => Error::Broken {
                address,
                message: error.to_string(),
            },
        }
    }
}
