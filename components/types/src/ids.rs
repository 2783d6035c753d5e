//! Newtypes for names and numbers that identify things.

use std::fmt;
use std::str::FromStr;

use errors::Error;
use libs::compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Longest name accepted for any text id, in bytes.
const MAX_ID_BYTES: usize = 128;

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(try_from = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The id as text.
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

macro_rules! number_id {
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

text_id!(
    /// A team, which submits work and holds keys, a share and an upper limit.
    TeamId, "team name");
text_id!(
    /// A key of a team, without its secret.
    KeyId, "key name");
text_id!(
    /// A queue that takes requests or jobs.
    QueueId, "queue name");
text_id!(
    /// A pool: the workers and runners that one scheduler owns at a time.
    PoolId, "pool name");
text_id!(
    /// A failure domain.
    DomainId, "failure domain name");
text_id!(
    /// A rack inside a failure domain.
    RackId, "rack name");
text_id!(
    /// A worker, that is a backend server which runs tasks.
    WorkerId, "worker name");
text_id!(
    /// A runner, that is a back end which answers requests in slots.
    RunnerId, "runner name");
text_id!(
    /// A job, unique over all pools. Its first part, up to `:`, is its pool.
    JobId, "job id");
text_id!(
    /// A caller's request, equal for all retries of the same request.
    RequestId, "request id");
text_id!(
    /// The configured name of one of carobsill's processes.
    NodeName, "process name");
number_id!(
    /// Ownership epoch of a pool. Workers and runners refuse lower epochs than they have seen.
    Epoch, u64, "epoch");
number_id!(
    /// Version of the rules text, assigned by the key-value service.
    RulesVersion, u64, "rules version");
number_id!(
    /// Number of one try to run a task or request. The epoch is its upper half, so that no two
    /// owners use the same number.
    Attempt, u64, "attempt number");
number_id!(
    /// Correlates a reply with a call between two processes.
    CallId, u64, "call id");

/// One run of a process: its configured name and a random incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct NodeId {
    /// Configured name.
    pub name: NodeName,
    /// Random number drawn at start, so that a restarted process is another node.
    pub incarnation: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// Who may use a grant: one try of a caller to have a request served, in one process.
///
/// A caller that sends a request again, even through the same process, is another holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The process.
    pub node: NodeId,
    /// Number of the try in that process.
    pub run: u64,
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

/// Bits of an attempt number below the epoch.
const ATTEMPT_EPOCH_SHIFT: u32 = 32;

impl Attempt {
    /// The first attempt number of an epoch.
    pub fn first_of(epoch: Epoch) -> Self {
        Self((epoch.0 << ATTEMPT_EPOCH_SHIFT) + 1)
    }
}
