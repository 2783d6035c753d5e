//! Newtypes for identifiers.

use std::fmt;
use std::str::FromStr;

use errors::Error;
use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Maximum length of a string id.
const MAX_ID_BYTES: usize = 128;

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(try_from = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The id as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let valid = !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(is_id_byte);
                if !valid {
                    return Err(Error::Parse($kind, text.chars().take(MAX_ID_BYTES).collect()));
                }
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = Error;

            fn try_from(text: CompactString) -> Result<Self, Error> {
                text.parse()
            }
        }
    };
}

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The id that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse().map(Self).map_err(|_| Error::Parse($kind, text.to_owned()))
            }
        }
    };
}

string_id!(
    /// A team, which submits work and has API keys, a share and an upper limit.
    TeamId, "team name");
string_id!(
    /// Name of a team's API key, without the secret.
    KeyId, "key name");
string_id!(
    /// A queue that accepts requests or jobs.
    QueueId, "queue name");
string_id!(
    /// A pool: workers and runners that are owned by one scheduler at a time.
    PoolId, "pool name");
string_id!(
    /// A failure domain.
    DomainId, "failure domain name");
string_id!(
    /// A rack within a failure domain.
    RackId, "rack name");
string_id!(
    /// A worker: a backend server that runs tasks.
    WorkerId, "worker name");
string_id!(
    /// A runner: a back end that serves requests, each in a slot.
    RunnerId, "runner name");
string_id!(
    /// A job, unique across all pools. The part before the first `:` is the name of its pool.
    JobId, "job id");
string_id!(
    /// A caller's request. All retries of a request share the id.
    RequestId, "request id");
string_id!(
    /// The configured name of one of carobsill's processes.
    NodeName, "process name");
numeric_id!(
    /// Ownership epoch of a pool. Workers and runners reject epochs lower than the highest they have
    /// seen.
    Epoch, u64, "epoch");
numeric_id!(
    /// Version of the rules text, assigned by the key-value service.
    RulesVersion, u64, "rules version");
numeric_id!(
    /// Number of one attempt to run a task or request. The epoch forms the upper half, so that no
    /// two owners use the same number.
    Attempt, u64, "attempt number");
numeric_id!(
    /// Correlates the response with a call between two processes.
    CallId, u64, "call id");

/// One run of a process, identified by its configured name and a random incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct NodeId {
    /// Configured name.
    pub name: NodeName,
    /// Random number drawn at start-up, so that a restarted process has a different id.
    pub incarnation: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// The only user of a grant: one submission of a caller's request to one entry process.
///
/// If the caller submits the request again, even to the same process, that is another holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantHolder {
    /// The entry process.
    pub node: NodeId,
    /// Number of the submission, unique in that process.
    pub submission: u64,
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse_error = || Error::Parse("task id", text.to_owned());
        let (job, index) = text.rsplit_once('/').ok_or_else(parse_error)?;
        Ok(Self { job: job.parse()?, index: index.parse().map_err(|_| parse_error())? })
    }
}

/// Number of bits below the epoch in an attempt number.
const ATTEMPT_EPOCH_SHIFT: u32 = 32;

impl Attempt {
    /// The first attempt number of an epoch.
    pub fn first_in_epoch(epoch: Epoch) -> Self {
        Self((epoch.0 << ATTEMPT_EPOCH_SHIFT) + 1)
    }
}
