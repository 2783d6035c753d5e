//! Executes the actions decided by the cell.

use std::rc::Rc;

use cell::{Action, PaceOrder, StartOrder, StepKey, StopOrder};
use libs::compact_str::CompactString;
use libs::tokio;
use types::{Millis, WorkerId};

use crate::leader::Leader;
use crate::node::Node;
use crate::peers::{Answer, Message};
use crate::ports::Advice;

/// Timeout of advisor calls, which may queue behind other calls from the same machine.
const ADVICE_TIMEOUT_MS: Millis = Millis(2_500);

impl Node {
    pub(crate) fn execute(self: &Rc<Self>, leader: &Rc<Leader>, action: Action) {
        let node = self.clone();
        let term = leader.clone();
        match action {
            Action::Start(order) => {
                self.note_started(leader, &order.task.step.job);
                tokio::task::spawn_local(node.start(term, order));
            }
            Action::Stop(order) => {
                tokio::task::spawn_local(node.stop(term, order));
            }
            Action::Pace(order) => {
                tokio::task::spawn_local(node.pace(term, order));
            }
            Action::Poll(id) => {
                tokio::task::spawn_local(async move { node.poll_once(&term, &id, false).await });
            }
            Action::RequestAdvice { caller, call, step, workers } => {
                tokio::task::spawn_local(node.request_advice(term, caller, call, step, workers));
            }
            Action::Deposed => self.end_term("a worker has seen a higher epoch"),
        }
    }

    async fn start(self: Rc<Self>, leader: Rc<Leader>, order: Box<StartOrder>) {
        let began_ms = clock::now();
        let answer = self.ports.workers.start(&order).await;
        self.metrics.count("starts");
        let now = clock::now();
        self.metrics.time_ms("start_ms", now.since(began_ms).0);
        leader.cell.borrow_mut().start_answered(&order, answer, now);
        if answer != cell::StartAnswer::Started {
            self.metrics.count("starts_failed");
            leader.changed.notify_one();
        }
    }

    async fn stop(self: Rc<Self>, leader: Rc<Leader>, order: StopOrder) {
        let confirmed = self.ports.workers.stop(&order).await;
        self.metrics.count("stops");
        let now = clock::now();
        leader.cell.borrow_mut().stop_answered(
            &order.worker,
            &order.task,
            order.attempt,
            confirmed,
            now,
        );
        leader.changed.notify_one();
    }

    async fn pace(self: Rc<Self>, leader: Rc<Leader>, order: PaceOrder) {
        self.metrics.count("paces");
        if !self.ports.workers.pace(&order).await {
            leader.cell.borrow_mut().pace_failed(&order.run.worker, &order.run.task);
        }
    }

    async fn request_advice(
        self: Rc<Self>,
        leader: Rc<Leader>,
        caller: CompactString,
        call: u64,
        step: StepKey,
        workers: Vec<(WorkerId, u64)>,
    ) {
        let ids: Vec<WorkerId> = workers.iter().map(|(id, _)| id.clone()).collect();
        self.metrics.count("advice_calls");
        let began_ms = clock::now();
        let advice = self.advise_via(&caller, &step, ids).await;
        self.metrics.time_ms("advice_ms", clock::now().since(began_ms).0);
        let answer = advice.as_ref().map(|advice| (advice.allowed.as_slice(), advice.valid_ms));
        leader.cell.borrow_mut().advice_answered(call, &step, &workers, answer, clock::now());
        leader.changed.notify_one();
    }

    async fn advise_via(
        &self,
        caller: &CompactString,
        step: &StepKey,
        workers: Vec<WorkerId>,
    ) -> Option<Advice> {
        if *caller == self.settings.name {
            return self.ports.advisor.advise(step, &workers, ADVICE_TIMEOUT_MS).await;
        }
        let address = self.peers.borrow().get(caller).map(|state| state.peer.address)?;
        let message =
            Message::Advise { step: step.clone(), workers, timeout_ms: ADVICE_TIMEOUT_MS };
        match self.send(address, &message, ADVICE_TIMEOUT_MS).await {
            Ok(Answer::Advice(advice)) => advice,
            _ => None,
        }
    }
}
