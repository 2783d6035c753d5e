//! Requests to evacuate failure domains, and the return of domains.

use std::collections::BTreeMap;

use types::{DomainId, Millis, WorkerId, stable_hash};

/// Time over which the workers of a domain return. It is empty then, and a burst of starts on all of
/// its workers at once would leave none for the more urgent work of the next second.
const RETURN_MS: Millis = Millis(2_000);

/// A request to start nothing more in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRequest {
    /// The domain.
    pub domain: DomainId,
    /// Store revision of the request.
    pub revision: u64,
}

/// A change of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// A domain is to be evacuated.
    Requested(EvacuationRequest),
    /// The request for a domain was removed.
    Removed(DomainId),
}

/// A request in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// Store revision of the request.
    pub revision: u64,
    /// Time since which it is known.
    pub since_ms: Millis,
}

/// What a change of the requests leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Nothing more starts in the domain.
    Evacuated(DomainId, Evacuation),
    /// The workers of the domain take work again, one after the other.
    Returned {
        /// The domain.
        domain: DomainId,
        /// The request that has ended.
        evacuation: Evacuation,
        /// Time until all workers of the domain take work.
        over_ms: Millis,
    },
}

/// Return of a domain.
#[derive(Debug, Clone, Copy)]
struct Return {
    from_ms: Millis,
    over_ms: Millis,
}

/// The requests in force, and the domains that return.
#[derive(Debug, Default)]
pub struct Evacuations {
    requests: BTreeMap<DomainId, Evacuation>,
    returns: BTreeMap<DomainId, Return>,
}

impl Evacuations {
    /// Applies a change. Returns its effect, if it has one.
    pub fn apply(&mut self, change: EvacuationChange, now: Millis) -> Option<Effect> {
        match change {
            EvacuationChange::Requested(request) => self.request(request, now),
            EvacuationChange::Removed(domain) => self.remove(domain, now),
        }
    }

    /// Replaces all requests by those that the store lists.
    pub fn replace(&mut self, listed: Vec<EvacuationRequest>, now: Millis) -> Vec<Effect> {
        let is_listed = |domain: &DomainId| listed.iter().any(|one| one.domain == *domain);
        let removed: Vec<DomainId> =
            self.requests.keys().filter(|domain| !is_listed(domain)).cloned().collect();
        let mut effects: Vec<Effect> =
            removed.into_iter().filter_map(|domain| self.remove(domain, now)).collect();
        effects.extend(listed.into_iter().filter_map(|request| self.request(request, now)));
        effects
    }

    fn request(&mut self, request: EvacuationRequest, now: Millis) -> Option<Effect> {
        let EvacuationRequest { domain, revision } = request;
        if let Some(known) = self.requests.get_mut(&domain) {
            known.revision = revision;
            return None;
        }
        self.returns.remove(&domain);
        let evacuation = Evacuation { revision, since_ms: now };
        self.requests.insert(domain.clone(), evacuation);
        Some(Effect::Evacuated(domain, evacuation))
    }

    fn remove(&mut self, domain: DomainId, now: Millis) -> Option<Effect> {
        let evacuation = self.requests.remove(&domain)?;
        // After a short request the domain is hardly emptier than before.
        let over_ms = now.since(evacuation.since_ms).min(RETURN_MS);
        if over_ms > Millis(0) {
            self.returns.insert(domain.clone(), Return { from_ms: now, over_ms });
        }
        Some(Effect::Returned { domain, evacuation, over_ms })
    }

    /// Whether a worker of a domain takes work. A worker without a domain always does.
    pub fn takes_work(&self, domain: Option<&DomainId>, worker: &WorkerId, now: Millis) -> bool {
        let Some(domain) = domain else { return true };
        if self.requests.contains_key(domain) {
            return false;
        }
        self.returns.get(domain).is_none_or(|one| {
            let parts = [domain.as_str().as_bytes(), worker.as_str().as_bytes()];
            let delay_ms = Millis(stable_hash(&parts) % one.over_ms.0.max(1));
            now >= one.from_ms + delay_ms
        })
    }

    /// Forgets domains all of whose workers have returned.
    pub fn forget_returned(&mut self, now: Millis) {
        self.returns.retain(|_, one| now < one.from_ms + one.over_ms);
    }

    /// Whether every worker of every domain takes work.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.returns.is_empty()
    }

    /// The request for a domain, if there is one.
    pub fn get(&self, domain: &DomainId) -> Option<&Evacuation> {
        self.requests.get(domain)
    }

    /// The requests in force.
    pub fn iter(&self) -> impl Iterator<Item = (&DomainId, &Evacuation)> {
        self.requests.iter()
    }

    /// Number of requests in force.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in force. Domains may still return.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
