//! Who a caller is.

use config::{KeyCheck, QueueRule, parse_bearer};
use libs::rouille::Request;
use types::TeamId;

use crate::view::View;

/// Why a caller is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// No key, or not a valid one.
    InvalidKey,
    /// This process cannot confirm that the key was not withdrawn.
    Unconfirmed,
}

/// The team whose key came with a request.
pub(crate) fn team_of(request: &Request, view: &View) -> Result<TeamId, Denied> {
    if !view.trusted {
        return Err(Denied::Unconfirmed);
    }
    let bearer = request.header("Authorization").and_then(parse_bearer);
    let (name, secret) = bearer.ok_or(Denied::InvalidKey)?;
    match view.rules.check_key(&name, secret) {
        KeyCheck::Team(team) => Ok(team),
        KeyCheck::Invalid => Err(Denied::InvalidKey),
    }
}

/// The team for work on a queue. None on an open queue without a key; a key that is presented must
/// be valid on open queues too.
pub(crate) fn team_for_queue(
    request: &Request,
    view: &View,
    queue: &QueueRule,
) -> Result<Option<TeamId>, Denied> {
    if queue.open && request.header("Authorization").is_none() {
        return if view.rules.version.0 > 0 { Ok(None) } else { Err(Denied::Unconfirmed) };
    }
    team_of(request, view).map(Some)
}

/// Whether an operator's key came with a request.
pub(crate) fn check_operator(request: &Request, view: &View) -> Result<(), Denied> {
    if !view.trusted {
        return Err(Denied::Unconfirmed);
    }
    let bearer = request.header("Authorization").and_then(parse_bearer);
    let (name, secret) = bearer.ok_or(Denied::InvalidKey)?;
    if view.rules.check_operator(&name, secret) { Ok(()) } else { Err(Denied::InvalidKey) }
}
