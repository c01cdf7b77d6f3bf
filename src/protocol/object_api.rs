//! The object API's calls, typed.

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

/// Longest time for a call, except that a watch waits in addition.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What became of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The condition does not hold; 0 stands for an absent object.
    Conflict { version: u64 },
    /// The write was carried out.
    Done { version: u64 },
    /// The write was not carried out and will not be.
    Refused(Error),
    /// The answer is lost: the write may have been carried out, or may yet be.
    Unknown(Error),
}

/// The object API.
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
    /// Fails if the object API does not answer, or not as described.
    pub fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let target = format!("/v1/objects/{}", encode(key));
        let answer = self.read(Kind::Get, &target, TIMEOUT)?;

        if answer.status == 404 {
            return Ok(None);
        }

        self.decode(&answer).map(Some)
    }

    /// Reads up to `limit` objects under a prefix, in key order, that come
    /// after a key.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer, or not as described.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<List, Error> {
        let (prefix, after) = (encode(prefix), encode(after));
        let target = format!("/v1/objects?prefix={prefix}&after={after}&limit={limit}");
        self.decode(&self.read(Kind::List, &target, TIMEOUT)?)
    }

    /// Waits for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the object API does not answer, or not as described.
    pub fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watch, Error> {
        let millis = wait.as_millis();
        let prefix = encode(prefix);
        let target = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={millis}");
        self.decode(&self.read(Kind::Watch, &target, wait + TIMEOUT)?)
    }

    /// Creates an object unless it exists.
    pub fn create(&self, key: &str, value: &impl Serialize) -> WriteOutcome {
        self.put(key, value, ("If-None-Match", "*"))
    }

    /// Replaces an object that has this version.
    pub fn update(&self, key: &str, value: &impl Serialize, version: u64) -> WriteOutcome {
        self.put(key, value, ("If-Match", &version.to_string()))
    }

    /// Deletes an object that has this version.
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
        let target = format!("/v1/objects/{}", encode(key));
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
            // The status alone proves the conflict.
            (412, _) => WriteOutcome::Conflict {
                version: serde_json::from_slice::<Version>(&answer.body)
                    .map_or(0, |answer| answer.version),
            },
            (400..500, Err(error)) => WriteOutcome::Refused(error),
            (_, Err(error)) => WriteOutcome::Unknown(error),
            (_, Ok(_)) => WriteOutcome::Unknown(self.unexpected(&answer)),
        }
    }

    fn decode<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, Error> {
        if answer.status != 200 {
            return Err(self.unexpected(answer));
        }

        serde_json::from_slice(&answer.body).context(JsonSnafu {
            what: "an answer of the object API",
        })
    }

    fn unexpected(&self, answer: &Answer) -> Error {
        transport::Error::Status {
            address: self.0.address().into(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
            status: answer.status,
        }
        .into()
    }
}

fn encode(text: &str) -> String {
    text.bytes().fold(String::new(), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"-_./~".contains(&byte) {
            encoded.push(byte.into());
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
        encoded
    })
}
