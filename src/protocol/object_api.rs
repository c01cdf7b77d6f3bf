//! A typed client for the object API.

use {
    crate::{
        protocol::{
            Error,
            error::JsonSnafu,
            object::{List, Object, Version, Watch},
        },
        transport::{
            self,
            object_api::{Answer, Call, CallCounters, Kind, ObjectApi as Transport},
        },
    },
    serde::{Serialize, de::DeserializeOwned},
    snafu::ResultExt,
    std::{fmt::Write as _, time::Duration},
};

/// Timeout of a call. A watch adds the time for which it waits.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The precondition does not hold. `version` is the current one, or 0 if
    /// the object does not exist or the answer does not state it.
    Conflict { version: u64 },
    /// The write was applied.
    Done { version: u64 },
    /// The write was not applied and will not be.
    Refused(Error),
    /// No conclusive answer arrived: the write may have been applied, or may
    /// still be.
    Unknown(Error),
}

/// A client for the object API.
#[derive(Clone, Debug)]
pub struct ObjectApi(Transport);

impl ObjectApi {
    /// Builds a client for the object API at an address such as
    /// `http://127.0.0.1:7200`.
    pub fn new(address: &str, calls: CallCounters) -> Self {
        Self(Transport::new(address, calls))
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer or its answer is not valid.
    pub fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let target = format!("/v1/objects/{}", percent_encode(key));
        let answer = self.read(Kind::Get, &target, TIMEOUT)?;

        if answer.status == 404 {
            return Ok(None);
        }

        self.decode(&answer).map(Some)
    }

    /// Lists up to `limit` objects under a prefix whose keys come after
    /// `after`, in key order.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer or its answer is not valid.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<List, Error> {
        let (prefix, after) = (percent_encode(prefix), percent_encode(after));
        let target = format!("/v1/objects?prefix={prefix}&after={after}&limit={limit}");
        self.decode(&self.read(Kind::List, &target, TIMEOUT)?)
    }

    /// Waits for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer or its answer is not valid.
    pub fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watch, Error> {
        let millis = wait.as_millis();
        let prefix = percent_encode(prefix);
        let target = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={millis}");
        self.decode(&self.read(Kind::Watch, &target, wait + TIMEOUT)?)
    }

    /// Creates an object if it does not exist.
    pub fn create(&self, key: &str, value: &impl Serialize) -> WriteOutcome {
        self.put(key, value, ("If-None-Match", "*"))
    }

    /// Replaces an object if it has this version.
    pub fn update(&self, key: &str, value: &impl Serialize, version: u64) -> WriteOutcome {
        self.put(key, value, ("If-Match", &version.to_string()))
    }

    /// Deletes an object if it has this version.
    pub fn delete(&self, key: &str, version: u64) -> WriteOutcome {
        self.write(Kind::Delete, key, &[], ("If-Match", &version.to_string()))
    }

    fn put(&self, key: &str, value: &impl Serialize, condition: (&str, &str)) -> WriteOutcome {
        match serde_json::to_vec(value).context(JsonSnafu { what: key }) {
            Ok(body) => self.write(Kind::Put, key, &body, condition),
            Err(error) => WriteOutcome::Refused(error),
        }
    }

    fn read(&self, kind: Kind, target: &str, timeout: Duration) -> Result<Answer, Error> {
        Ok(self.0.send(Call {
            body: &[],
            header: None,
            kind,
            target,
            timeout,
        })?)
    }

    fn write(&self, kind: Kind, key: &str, body: &[u8], condition: (&str, &str)) -> WriteOutcome {
        let target = format!("/v1/objects/{}", percent_encode(key));
        let answer = match self.0.send(Call {
            body,
            header: Some(condition),
            kind,
            target: &target,
            timeout: TIMEOUT,
        }) {
            Ok(answer) => answer,
            Err(error @ transport::Error::Connect { .. }) => {
                return WriteOutcome::Refused(error.into());
            }
            Err(error) => return WriteOutcome::Unknown(error.into()),
        };

        match (answer.status, self.decode::<Version>(&answer)) {
            (200, Ok(Version { version, .. })) => WriteOutcome::Done { version },
            // The status proves the conflict even if the body is not valid.
            (412, _) => WriteOutcome::Conflict {
                version: serde_json::from_slice::<Version>(&answer.body)
                    .map_or(0, |answer| answer.version),
            },
            (400..500, Err(error)) => WriteOutcome::Refused(error),
            (_, Err(error)) => WriteOutcome::Unknown(error),
            (_, Ok(_)) => WriteOutcome::Unknown(self.status_error(&answer)),
        }
    }

    fn decode<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, Error> {
        if answer.status != 200 {
            return Err(self.status_error(answer));
        }

        serde_json::from_slice(&answer.body).context(JsonSnafu {
            what: "the object API's answer",
        })
    }

    fn status_error(&self, answer: &Answer) -> Error {
        transport::Error::Status {
            address: self.0.address().into(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
            status: answer.status,
        }
        .into()
    }
}

/// Encodes a text for a path or the value of a query field.
pub fn percent_encode(text: &str) -> String {
    text.bytes().fold(String::new(), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"-_./~".contains(&byte) {
            encoded.push(byte.into());
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
        encoded
    })
}
