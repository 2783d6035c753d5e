//! The request handlers' view of the deployment: rules, pool owners and processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use config::Rules;
use types::{Epoch, NodeId, PoolId};

/// The owner of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) address: SocketAddr,
    pub(crate) epoch: Epoch,
}

/// A process as shown in the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Process {
    pub(crate) node: NodeId,
    pub(crate) role: types::Role,
    pub(crate) address: SocketAddr,
    pub(crate) alive: bool,
    pub(crate) rules_version: types::RulesVersion,
}

/// A consistent snapshot of the deployment.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) rules: Arc<Rules>,
    /// Whether the rules, and so the callers' keys, are confirmed.
    pub(crate) trusted: bool,
    pub(crate) stopping: bool,
    pub(crate) owners: BTreeMap<PoolId, Owner>,
    pub(crate) processes: Vec<Process>,
}

impl View {
    /// Returns whether this process can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping && self.rules.version.0 > 0 && !self.owners.is_empty()
    }
}

/// The current view, which is always replaced as a whole.
#[derive(Default)]
pub(crate) struct SharedView {
    view: RwLock<Arc<View>>,
}

impl SharedView {
    /// Returns the current view.
    pub(crate) fn get(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the current view.
    pub(crate) fn set(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }
}
