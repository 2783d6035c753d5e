//! Authentication of callers and operators.

use config::{KeyCheck, QueueRule, parse_bearer};
use types::TeamId;
use web::ServerRequest;

use crate::view::View;

/// Why a caller is not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AuthError {
    /// The key is missing or invalid.
    InvalidKey,
    /// This process cannot confirm that the key has not been revoked.
    Unconfirmed,
}

/// Returns the team whose key the request presents.
pub(crate) fn authenticate_team(request: &ServerRequest, view: &View) -> Result<TeamId, AuthError> {
    if !view.trusted {
        return Err(AuthError::Unconfirmed);
    }
    let bearer = request.header("Authorization").and_then(parse_bearer);
    let (name, secret) = bearer.ok_or(AuthError::InvalidKey)?;
    match view.rules.authenticate(&name, secret) {
        KeyCheck::Team(team) => Ok(team),
        KeyCheck::Invalid => Err(AuthError::InvalidKey),
    }
}

/// Returns the team of a request to a queue, or `None` if the queue is open and the request has no key.
/// A key that is presented must be valid on open queues too.
pub(crate) fn authenticate_for_queue(
    request: &ServerRequest,
    view: &View,
    queue: &QueueRule,
) -> Result<Option<TeamId>, AuthError> {
    if queue.open && request.header("Authorization").is_none() {
        return if view.rules.version.0 > 0 { Ok(None) } else { Err(AuthError::Unconfirmed) };
    }
    authenticate_team(request, view).map(Some)
}

/// Checks that the request presents an operator's key.
pub(crate) fn authenticate_operator(request: &ServerRequest, view: &View) -> Result<(), AuthError> {
    if !view.trusted {
        return Err(AuthError::Unconfirmed);
    }
    let bearer = request.header("Authorization").and_then(parse_bearer);
    let (name, secret) = bearer.ok_or(AuthError::InvalidKey)?;
    if view.rules.is_operator_key(&name, secret) { Ok(()) } else { Err(AuthError::InvalidKey) }
}
