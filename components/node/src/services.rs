//! The services that every process starts before its own work.

use std::sync::Arc;

use clock::{CancellationToken, Timer};
use config::Settings;
use errors::Result;
use kv::HttpStore;
use libs::crossbeam_channel::Sender;
use metrics::Metrics;
use net::Mesh;
use timeline::Timeline;
use types::{Envelope, NodeId, Role};

use crate::rules_watch::{RulesUpdate, RulesWatch};
use crate::{Node, new_identity};

/// The services of a process.
pub struct Services {
    /// Identity of this run of the process.
    pub identity: NodeId,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Timeline, which records events.
    pub timeline: Timeline,
    /// Transport for messages to other processes.
    pub mesh: Mesh,
    /// Client of the key-value service.
    pub store: Arc<HttpStore>,
    /// Timer service.
    pub timer: Timer,
    /// Stops these services. It is separate from the token that stops the process, because requests in
    /// progress and the hand-over of pools still need the services after that one is cancelled.
    pub token: CancellationToken,
    watch: RulesWatch,
}

impl Services {
    /// Starts all services. Messages from peers go to `peers`; rules updates go to `inputs`, converted
    /// by `to_input`.
    pub fn start<T: Send + 'static>(
        settings: &Settings,
        peers: Sender<Envelope>,
        inputs: &Sender<T>,
        to_input: fn(RulesUpdate) -> T,
    ) -> Result<Self> {
        let token = CancellationToken::new();
        let identity = new_identity(settings.process.name.clone());
        let metrics = Metrics::new(settings.statsd);
        let timeline = Timeline::start(identity.clone(), settings.timeline_path.as_deref())?;
        let mesh = Mesh::start(
            identity.clone(),
            settings.process.listen,
            &settings.tls,
            peers,
            timeline.clone(),
            metrics.clone(),
            token.clone(),
        )?;
        let store = Arc::new(HttpStore::new(
            &settings.kv.url,
            settings.kv.call_timeout_ms,
            settings.kv.reads_per_s,
            settings.kv.writes_per_s,
            metrics.clone(),
        ));
        let watch = RulesWatch::start(store.clone(), inputs.clone(), to_input, token.clone())?;
        let timer = Timer::start(token.clone())?;
        Ok(Self { identity, metrics, timeline, mesh, store, timer, token, watch })
    }

    /// Creates the node that keeps this process's membership and rules.
    pub fn node(&self, role: Role, settings: &Settings) -> Node {
        let (mesh, timeline) = (self.mesh.clone(), self.timeline.clone());
        Node::new(
            self.identity.clone(),
            role,
            settings,
            mesh,
            timeline,
            self.watch.clone(),
            clock::now(),
        )
    }
}
