//! Errors shared by all components.
//!
//! Outcomes of requests and jobs are values, not errors: see `types::Outcome`.

use libs::quick_error::quick_error;
use libs::ureq;

quick_error! {
    /// Everything that can go wrong outside the decision logic.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read or written.
        File(path: String, cause: std::io::Error) {
            display("{}: {}", path, cause)
            source(cause)
        }
        /// A settings or rules text is not valid.
        Config(message: String) {
            display("{}", message)
        }
        /// A value does not parse as the named type.
        Parse(kind: &'static str, text: String) {
            display("'{}' is not a valid {}", text, kind)
        }
        /// A message could not be encoded or decoded.
        Codec(message: String) {
            display("message codec: {}", message)
        }
        /// A transport, socket or TLS failure.
        Net(message: String) {
            display("network: {}", message)
        }
        /// The remote side did not answer, so that the call may or may not have taken effect.
        Unanswered(message: String) {
            display("no answer: {}", message)
        }
        /// The remote side answered with a refusal.
        Refused(status: u16, message: String) {
            display("refused with status {}: {}", status, message)
        }
        /// The key-value service holds another version than the expected one.
        VersionConflict(current: u64) {
            display("the stored version is {}", current)
        }
        /// The local rate budget for calls to the key-value service is used up.
        OverBudget {
            display("the rate budget for key-value calls is used up")
        }
    }
}

impl Error {
    /// The error of an HTTP call: `Net` if it was surely not sent, `Unanswered` if it may have arrived.
    pub fn from_call(error: &ureq::Error) -> Self {
        let never_sent = match error {
            ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
            ureq::Error::Timeout(stage) => {
                matches!(stage, ureq::Timeout::Connect | ureq::Timeout::Resolve)
            }
            _ => false,
        };
        if never_sent { Self::Net(error.to_string()) } else { Self::Unanswered(error.to_string()) }
    }
}

/// Result with the shared error type.
pub type Result<T> = std::result::Result<T, Error>;
