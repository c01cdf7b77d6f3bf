//! Client of a host's operator interface.

use {
    crate::failure::Failure,
    persimmoncleat::{
        protocol::secret::Secret,
        state::fault::Fault,
        transport::client::{self, Client},
    },
    serde_json::Value,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// Timeout of a call. A change takes up to 12 s until its outcome is known and
/// up to 7 s more until all hosts report it.
const TIMEOUT: Duration = Duration::from_secs(25);

/// Client of one host, with an operator's key.
pub struct Operator {
    address: SocketAddr,
    authorization: String,
    client: Client,
}

/// An answer of any status.
pub struct Answer {
    pub body: Value,
    pub status: u16,
}

impl Operator {
    /// Reads the key file and builds the client.
    ///
    /// # Errors
    ///
    /// Fails if an option is missing or the key file cannot be read.
    pub fn new(host: Option<SocketAddr>, key_file: Option<&Path>) -> Result<Self, Failure> {
        let address = host.ok_or_else(|| Failure::usage("this command needs --host ADDRESS"))?;
        let path = key_file.ok_or_else(|| Failure::usage("this command needs --key-file FILE"))?;
        let bytes = fs::read(path)
            .map_err(|error| Failure::usage(format!("cannot read {}: {error}", path.display())))?;
        let key = Secret::parse(&bytes).ok_or_else(|| {
            Failure::usage(format!(
                "{} does not hold a key of the minimum length",
                path.display()
            ))
        })?;

        Ok(Self {
            address,
            authorization: format!("Bearer {}", String::from_utf8_lossy(key.as_bytes())),
            client: Client::new(),
        })
    }

    /// Sends a GET request and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer or its answer states an error.
    pub fn get(&self, path: &str) -> Result<Value, Failure> {
        let headers = [("Authorization", self.authorization.as_str())];
        let response = self.client.get(self.address, path, &headers, TIMEOUT);
        self.read(response)?.expect_ok()
    }

    /// Posts a body and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer.
    pub fn post(&self, path: &str, body: &Value) -> Result<Answer, Failure> {
        let headers = [
            ("Authorization", self.authorization.as_str()),
            ("Content-Type", "application/json"),
        ];
        let body = client::json(body);
        let response = self
            .client
            .post(self.address, path, &headers, &body, TIMEOUT);
        self.read(response)
    }

    fn read(
        &self,
        response: Result<ureq::http::Response<ureq::Body>, client::Failure>,
    ) -> Result<Answer, Failure> {
        let unreachable =
            |failure: client::Failure| Failure::unreachable(failure.into_error().to_string());
        let response = response.map_err(unreachable)?;
        let status = response.status().as_u16();
        let body = client::read_body(self.address, TIMEOUT, response).map_err(unreachable)?;
        let body = serde_json::from_slice(&body)
            .map_err(|error| Failure::other(format!("the answer is not JSON: {error}")))?;
        Ok(Answer { body, status })
    }
}

impl Answer {
    /// Returns the body of a successful answer.
    ///
    /// # Errors
    ///
    /// Fails with the problem that an answer of another status states.
    pub fn expect_ok(self) -> Result<Value, Failure> {
        if self.status == 200 {
            return Ok(self.body);
        }

        if let Ok(faults) = serde_json::from_value::<Vec<Fault>>(self.body["errors"].clone()) {
            return Err(Failure::faults(&faults));
        }

        let text = self.body["detail"]
            .as_str()
            .map_or_else(|| self.body.to_string(), Into::into);
        let text = format!("the host answered {}: {text}", self.status);

        Err(match self.status {
            422 => Failure::usage(text),
            503 => Failure::unreachable(text),
            _ => Failure::other(text),
        })
    }
}
