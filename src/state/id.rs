//! Identifiers. Each kind is a separate type, so that the compiler rejects a
//! team where a pool is expected.

use {
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, sync::Arc},
};

macro_rules! text_id {
  ($($(#[$doc:meta])* $name:ident,)*) => {
    $(
      $(#[$doc])*
      #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
      #[derive(Deserialize, Serialize)]
      #[serde(from = "String", into = "String")]
      pub struct $name(Arc<str>);

      impl $name {
        /// Returns the identifier as text.
        pub fn as_str(&self) -> &str {
          &self.0
        }
      }

      impl Borrow<str> for $name {
        fn borrow(&self) -> &str {
          &self.0
        }
      }

      impl fmt::Display for $name {
        fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
          f.write_str(&self.0)
        }
      }

      impl From<&str> for $name {
        fn from(text: &str) -> Self {
          Self(text.into())
        }
      }

      impl From<String> for $name {
        fn from(text: String) -> Self {
          Self(text.into())
        }
      }

      impl From<$name> for String {
        fn from(id: $name) -> Self {
          id.0.as_ref().into()
        }
      }
    )*
  };
}

text_id! {
  /// A class of a team's requests, for example `urgent` or `volume`.
  Class,
  /// A failure domain.
  Domain,
  /// An endpoint: one model engine, stage worker or plain service process.
  Endpoint,
  /// An entry host.
  Host,
  /// A pipeline.
  Pipeline,
  /// A pool of equivalent endpoints.
  Pool,
  /// A request, in the form `HOST.INCARNATION.RANDOM`.
  Request,
  /// A stage of a pipeline.
  Stage,
  /// A team: the customer on whose behalf a request runs.
  Team,
}

impl Request {
    /// Returns the id of the host that coordinates the request, or `None` if the
    /// identifier does not have the expected form.
    pub fn home(&self) -> Option<&str> {
        self.0.rsplitn(3, '.').nth(2)
    }
}

/// One call of one stage to one endpoint, unique within the host's
/// incarnation.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize
)]
#[serde(transparent)]
pub struct Attempt(pub u64);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Distinguishes successive processes of a host: the wall-clock time of the
/// process's start in microseconds, raised above every value that peers have
/// recorded for the host.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
