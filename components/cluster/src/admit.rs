//! Refuses jobs that cannot be done while they are of use, before they are stored.

use admission::{InvalidInput, JobFacts, Refusal, Situation, Verdict};
use cell::JobRecord;
use eventlog::event;
use libs::tokio;
use types::{JobId, Millis, Resources};

use crate::keys;
use crate::node::Node;

/// Timeout of the read that shows whether the job is stored already. Reads take 4 ms, and up to 70
/// times that while the store is slow.
const STORED_TIMEOUT_MS: Millis = Millis(300);

impl Node {
    /// Returns after how many seconds the caller should return, if the job is refused: it cannot be
    /// done while it is of use, and neither this process nor the store knows it.
    ///
    /// No write of this submission has been sent then, so that it is true that it never runs.
    pub(crate) async fn refuse_for_capacity(&self, record: &JobRecord) -> Option<u64> {
        if !self.settings.admission || self.seen_jobs.borrow().contains(&record.id) {
            return None;
        }
        let refusal = self.judge(record)?;
        if !self.is_surely_unknown(&record.id).await {
            self.metrics.count("admission_accepted_in_doubt");
            event!("admission.in_doubt", "job" => record.id.as_str(), "doubt" => "MayBeStored");
            return None;
        }
        self.report_refusal(record, &refusal);
        Some(refusal.retry_after_s)
    }

    fn judge(&self, record: &JobRecord) -> Option<Refusal> {
        let facts = self.facts(record);
        let now = clock::now();
        for input in facts.invalid_inputs() {
            self.report_invalid_input(record, input, now);
        }
        let situation = Situation {
            leader_epoch: self.leader.borrow().as_ref().map(|leader| leader.epoch),
            processes: self.live_peers().len() as u64 + 1,
            now,
            random: libs::rand::random(),
        };
        match self.admission.borrow_mut().decide(&facts, &situation) {
            Verdict::Accept => None,
            Verdict::AcceptInDoubt(doubt) => {
                self.metrics.count("admission_accepted_in_doubt");
                event!("admission.in_doubt", "job" => record.id.as_str(),
                    "doubt" => format!("{doubt:?}"));
                None
            }
            Verdict::Refuse(refusal) => Some(refusal),
        }
    }

    fn facts(&self, record: &JobRecord) -> JobFacts {
        let rules = self.rules();
        let team = record.team.as_ref();
        let policy = rules.as_ref().and_then(|rules| rules.policy.teams.get(team?));
        JobFacts {
            queue: record.queue.clone(),
            team: record.team.clone(),
            weight: policy.map_or(0.0, |policy| policy.weight),
            limit: policy.map_or(Resources::ZERO, |policy| policy.limit),
            critical_path_ms: record.critical_path_ms(),
            objective_ms: record.objective_ms(),
            work: record.work(),
            largest_task: record.largest_task(),
            widest_gang: record.widest_gang(),
            recurs: record.spec.recurrence.is_some(),
        }
    }

    /// Whether neither this process nor the store knows a job. A caller that got no answer may send it
    /// again to any process.
    async fn is_surely_unknown(&self, id: &JobId) -> bool {
        let is_absent = self.is_stored(id).await == Some(false);
        // The same job may have been accepted here during the read.
        is_absent && !self.seen_jobs.borrow().contains(id)
    }

    /// Whether the store holds a job; none if it does not answer soon.
    pub(crate) async fn is_stored(&self, id: &JobId) -> Option<bool> {
        if self.store_failures.get() > 0 {
            return None;
        }
        let key = keys::job(id);
        let read = self.ports.store.get(&key);
        let answer = tokio::time::timeout(STORED_TIMEOUT_MS.to_duration(), read).await;
        let item = self.store_result(answer.ok()?).ok()?;
        Some(item.is_some())
    }

    fn report_refusal(&self, record: &JobRecord, refusal: &Refusal) {
        let inputs = &refusal.inputs;
        self.metrics.count("admission_refused");
        if refusal.is_with_free_capacity() {
            self.metrics.count("admission_refused_with_free_capacity");
        }
        self.metrics.count("jobs_refused");
        event!("admission.refused", "job" => record.id.as_str(),
            "queue" => record.queue.as_str(),
            "team" => record.team.as_ref().map(|team| team.to_string()),
            "retry_after_s" => refusal.retry_after_s, "version" => inputs.version.0,
            "epoch" => inputs.epoch, "age_ms" => inputs.age_ms.0,
            "beyond_share" => inputs.beyond_share, "start_lower_ms" => inputs.start_lower_ms.0,
            "end_lower_ms" => inputs.end_lower_ms.0, "use_limit_ms" => inputs.use_limit_ms.0,
            "added_core_ms" => inputs.added.0, "processes" => inputs.processes,
            "free_percent" => inputs.free_percent);
    }

    fn report_invalid_input(&self, record: &JobRecord, input: InvalidInput, now: Millis) {
        self.metrics.count("admission_invalid_inputs");
        let Some(left_out) = self.invalid_input_log.borrow_mut().admit(input, now) else { return };
        event!("admission.invalid_input", "job" => record.id.as_str(),
            "queue" => record.queue.as_str(),
            "team" => record.team.as_ref().map(|team| team.to_string()),
            "problem" => input.as_str(), "lines_left_out" => left_out);
    }
}
