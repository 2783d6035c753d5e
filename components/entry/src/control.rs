//! The control thread: keeps membership and rules, and passes replies of schedulers to the request
//! handlers that wait for them.

use std::sync::Arc;
use std::thread;

use clock::CancellationToken;
use errors::{Error, Result};
use libs::crossbeam_channel::{Receiver, select};
use node::{Node, NodeChange, RulesUpdate};
use types::{Envelope, Message, Millis, PoolId, RunEnd, RunReport, SlotGrant};

use crate::Shared;
use crate::calls::Reply;
use crate::view::{Owner, Process, View};

/// An input that the control thread receives from another thread of its process.
#[derive(Debug, Clone)]
pub(crate) enum Input {
    /// Periodic tick, on which a round of heartbeats is sent.
    Heartbeat,
    /// A new rules version, or the confirmation that the known one is the newest.
    Rules(RulesUpdate),
}

/// State of the control thread.
pub(crate) struct Control {
    node: Node,
    shared: Arc<Shared>,
    stopping: CancellationToken,
}

impl Control {
    /// Starts the thread. It announces a shutdown once `stopping` is cancelled and ends when `services`
    /// is cancelled.
    pub(crate) fn start(
        node: Node,
        shared: Arc<Shared>,
        inputs: Receiver<Input>,
        peers: Receiver<Envelope>,
        stopping: CancellationToken,
        services: CancellationToken,
    ) -> Result<()> {
        let mut control = Self { node, shared, stopping };
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.run(&inputs, &peers, &services))
            .map_err(|error| Error::Io("control thread".to_owned(), error))?;
        Ok(())
    }

    fn run(
        &mut self,
        inputs: &Receiver<Input>,
        peers: &Receiver<Envelope>,
        services: &CancellationToken,
    ) {
        while !services.is_cancelled() {
            select! {
                recv(inputs) -> input => match input {
                    Ok(input) => self.handle_input(clock::now(), input),
                    Err(_) => return,
                },
                recv(peers) -> envelope => match envelope {
                    Ok(envelope) => self.handle_envelope(clock::now(), envelope),
                    Err(_) => return,
                },
            }
        }
    }

    fn handle_input(&mut self, now: Millis, input: Input) {
        let changes = match input {
            Input::Heartbeat => {
                if self.stopping.is_cancelled() {
                    self.node.set_leaving();
                }
                self.node.tick(now)
            }
            Input::Rules(update) => {
                self.node.handle_rules_update(now, update).into_iter().collect()
            }
        };
        self.count_rules_changes(&changes);
        self.publish_view();
    }

    fn handle_envelope(&mut self, now: Millis, envelope: Envelope) {
        let is_heartbeat = matches!(envelope.message, Message::Heartbeat(_));
        let (changes, unhandled) = self.node.receive(now, envelope);
        self.count_rules_changes(&changes);
        if is_heartbeat || !changes.is_empty() {
            self.publish_view();
        }
        if let Some(envelope) = unhandled {
            self.handle_message(envelope.message, envelope.reply_to);
        }
    }

    fn count_rules_changes(&self, changes: &[NodeChange]) {
        if changes.iter().any(|change| matches!(change, NodeChange::Rules(_))) {
            self.shared.metrics.count("rules.changes");
        }
    }

    fn handle_message(&self, message: Message, from: std::net::SocketAddr) {
        let calls = &self.shared.calls;
        match message {
            Message::SlotGrant(grant) => {
                if let Err(Reply::Grant(grant)) =
                    calls.deliver(grant.call, Reply::Grant(Box::new(grant)))
                {
                    self.return_grant(&grant, from);
                }
            }
            Message::SlotRefusal(call, outcome) | Message::JobOutcome(call, outcome) => {
                calls.deliver(call, Reply::Outcome(outcome)).ok();
            }
            Message::Jobs(call, jobs) => {
                calls.deliver(call, Reply::Jobs(jobs)).ok();
            }
            Message::Status(call, pools) => {
                calls.deliver(call, Reply::Status(pools)).ok();
            }
            _ => self.shared.metrics.count("net.messages_unexpected"),
        }
    }

    /// Returns the slot of a grant for which no request waits any more.
    fn return_grant(&self, grant: &SlotGrant, owner: std::net::SocketAddr) {
        self.shared.metrics.count("requests.late_grants");
        let report = RunReport {
            pool: grant.pool.clone(),
            request: grant.request.clone(),
            attempt: grant.attempt,
            end: RunEnd::NotStarted,
            took_ms: Millis(0),
            answer: None,
        };
        self.shared.mesh.send(owner, Message::SlotReport(report));
    }

    /// Replaces the view that request handlers use.
    fn publish_view(&self) {
        let members = self.node.members();
        let owner_of = |pool: &PoolId| {
            members
                .owner_of(pool)
                .map(|(owner, epoch)| (pool.clone(), Owner { address: owner.address, epoch }))
        };
        let rules = self.node.rules().clone();
        let view = View {
            trusted: self.node.trusted() && rules.version.0 > 0,
            stopping: self.stopping.is_cancelled(),
            owners: rules.pools().filter_map(|pool| owner_of(&pool.name)).collect(),
            processes: self.processes(),
            rules,
        };
        self.shared.view.set(view);
    }

    fn processes(&self) -> Vec<Process> {
        let members = self.node.members();
        let own = std::iter::once((members.own_heartbeat(), true));
        let peers = members.peers().map(|peer| (&peer.heartbeat, peer.alive));
        own.chain(peers)
            .map(|(heartbeat, alive)| Process {
                node: heartbeat.node.clone(),
                role: heartbeat.role,
                address: heartbeat.address,
                alive,
                rules_version: heartbeat.rules_version,
            })
            .collect()
    }
}
