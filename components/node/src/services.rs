//! What every process starts before its own duty.

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

/// The parts that every process has.
pub struct Services {
    /// This run of the process.
    pub identity: NodeId,
    /// Counters.
    pub metrics: Metrics,
    /// Time line.
    pub timeline: Timeline,
    /// Messages to other processes.
    pub mesh: Mesh,
    /// The key-value service.
    pub store: Arc<HttpStore>,
    /// Timer service.
    pub timer: Timer,
    /// Stops all of this. Transports must outlive the process's own token, because requests in
    /// progress and pools that are handed over still need them.
    pub token: CancellationToken,
    watch: RulesWatch,
}

impl Services {
    /// Starts all parts. Messages of peers go to `peers`, news about the rules to `inputs`.
    pub fn start<T: Send + 'static>(
        settings: &Settings,
        peers: Sender<Envelope>,
        inputs: &Sender<T>,
        tell: fn(RulesUpdate) -> T,
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
        let watch = RulesWatch::start(store.clone(), inputs.clone(), tell, token.clone())?;
        let timer = Timer::start(token.clone())?;
        Ok(Self { identity, metrics, timeline, mesh, store, timer, token, watch })
    }

    /// The membership and rules of this process.
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
