//! Errors shared by all components.
//!
//! Outcomes of requests and jobs are not errors but values of type `types::Outcome`.

use libs::quick_error::quick_error;
use libs::ureq;

quick_error! {
    /// Errors of I/O, parsing and calls to other processes.
    #[derive(Debug)]
    pub enum Error {
        /// An operation of the operating system failed, most often on a file. The text names the
        /// file or the operation.
        Io(context: String, cause: std::io::Error) {
            display("{}: {}", context, cause)
            source(cause)
        }
        /// The settings or rules are not valid.
        Config(message: String) {
            display("{}", message)
        }
        /// The text does not parse as a value of the named kind.
        Parse(kind: &'static str, text: String) {
            display("'{}' is not a valid {}", text, kind)
        }
        /// A message could not be encoded or decoded.
        Codec(message: String) {
            display("cannot encode or decode message: {}", message)
        }
        /// A transport, socket or TLS error. A call that fails with it was not sent.
        Network(message: String) {
            display("network error: {}", message)
        }
        /// There was no conclusive response, so that the call may or may not have taken effect.
        Unanswered(message: String) {
            display("no conclusive response: {}", message)
        }
        /// The remote side refused the call with this HTTP status.
        Refused(status: u16, message: String) {
            display("refused with status {}: {}", status, message)
        }
        /// The key-value service holds a different version than expected.
        VersionConflict(current: u64) {
            display("version conflict: the stored version is {}", current)
        }
        /// The local rate limit for calls to the key-value service is exhausted; nothing was sent.
        RateLimited {
            display("rate limit for calls to the key-value service exhausted")
        }
    }
}

impl Error {
    /// Converts the error of an HTTP call: `Network` if the request cannot have been sent, `Unanswered`
    /// if it may have arrived.
    pub fn from_call(error: &ureq::Error) -> Self {
        let never_sent = match error {
            ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
            ureq::Error::Timeout(stage) => {
                matches!(stage, ureq::Timeout::Connect | ureq::Timeout::Resolve)
            }
            _ => false,
        };
        if never_sent {
            Self::Network(error.to_string())
        } else {
            Self::Unanswered(error.to_string())
        }
    }
}

/// A result with the shared error type.
pub type Result<T> = std::result::Result<T, Error>;
