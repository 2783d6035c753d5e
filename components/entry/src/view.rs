//! What request handlers know of the deployment: rules, owners and whether to serve at all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use config::Rules;
use types::{Epoch, NodeId, PoolId};

/// Owner of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) address: SocketAddr,
    pub(crate) epoch: Epoch,
}

/// A process as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Process {
    pub(crate) node: NodeId,
    pub(crate) role: types::Role,
    pub(crate) address: SocketAddr,
    pub(crate) alive: bool,
    pub(crate) rules_version: types::RulesVersion,
}

/// One consistent picture.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) rules: Arc<Rules>,
    /// Whether keys may be trusted.
    pub(crate) trusted: bool,
    pub(crate) stopping: bool,
    pub(crate) owners: BTreeMap<PoolId, Owner>,
    pub(crate) processes: Vec<Process>,
}

impl View {
    /// Whether this process can serve callers at all.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping && self.rules.version.0 > 0 && !self.owners.is_empty()
    }
}

/// The newest picture, replaced as a whole.
#[derive(Default)]
pub(crate) struct SharedView {
    view: RwLock<Arc<View>>,
}

impl SharedView {
    /// The newest picture.
    pub(crate) fn get(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the picture.
    pub(crate) fn set(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }
}
