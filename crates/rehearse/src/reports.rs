//! Exchange of reports between the mixers of a simulation: each mixer's replica, and the policy that turns the reports of
//! the others into advice for its decision module.

use pewterwharf::interface::Event;
use pewterwharf::report::ObservedSearcher;
use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::{Mark, ProcessStart};
use pewterwharf_replica::{
    Advice, Limits, LocalStatus, PeerReportPolicy, RecordBatch, RejectReason, Replica,
};

/// Interval after which an unchanged mark is published again, as in the mixer's network code.
const REPUBLISH_MS: f64 = 700.0;
/// Memory for the records of all other mixers, in bytes.
const REPLICA_BYTES: usize = 2 << 20;
/// Maximum size of a batch of records, in bytes.
const BATCH_BYTES: usize = 12 * 1024;

/// Latency ratio and number of parts in the marks of a faulty mixer.
const FABRICATED_EVIDENCE: (f64, u32) = (9.0, 9);

/// A mark that a mixer has published.
struct PublishedMark {
    searcher: String,
    at: f64,
    late: bool,
}

/// The events for a mixer's decision module, and the new records for the other mixers.
pub(crate) struct PublishedChanges {
    pub events: Vec<Event>,
    pub batch: Option<RecordBatch>,
}

/// The replica of one mixer.
pub(crate) struct MixerReports {
    pub replica: Replica,
    policy: PeerReportPolicy,
    /// Last of its own records that was sent to the others.
    sent_through: u64,
    published_marks: Vec<PublishedMark>,
}

impl MixerReports {
    pub fn new(mixer: usize, mixers: usize) -> Self {
        let names = (0..mixers).map(|m| format!("m{m}"));
        let local_name = format!("m{mixer}");
        let incarnation = Incarnation::first(mixer as u64);
        let limits = Limits::per_origin(REPLICA_BYTES, mixers);
        let replica = Replica::new(&local_name, incarnation, names, limits);
        let mut policy = PeerReportPolicy::new(&local_name);
        policy.set_mixer_count(mixers as u32);
        Self { replica, policy, sent_through: 0, published_marks: Vec::new() }
    }

    /// Publishes what changed in the observations of the decision module. A mixer that `reports_all_slow` marks every
    /// searcher.
    pub fn publish_changes(
        &mut self,
        now: f64,
        observed: &[ObservedSearcher],
        reports_all_slow: bool,
    ) -> PublishedChanges {
        let mut events = Vec::new();
        for searcher in observed {
            let status = LocalStatus::from_report(searcher);
            let name = searcher.searcher.to_string();
            let advice = self.policy.local_status_changed(now, searcher.searcher, Some(status));
            events.extend(advice.map(Advice::to_event));
            self.publish_mark(now, searcher, status.late, &name, reports_all_slow);
            if searcher.cold {
                self.publish_process_start(now, &name, searcher.started_at);
            }
        }
        let batch = self.replica.own_records_since(now, self.sent_through, BATCH_BYTES);
        self.sent_through = batch.as_ref().map_or(self.sent_through, |batch| batch.through);
        PublishedChanges { events, batch }
    }

    fn publish_mark(
        &mut self,
        now: f64,
        searcher: &ObservedSearcher,
        late: bool,
        name: &str,
        reports_all_slow: bool,
    ) {
        let published = self.published_marks.iter().position(|mark| mark.searcher == name);
        let is_marked = searcher.marked || late || reports_all_slow;
        match (is_marked, published) {
            (true, Some(index))
                if now - self.published_marks[index].at < REPUBLISH_MS
                    && self.published_marks[index].late == late => {}
            (true, published) => {
                let (latency_ratio, parts) = if reports_all_slow {
                    FABRICATED_EVIDENCE
                } else if late {
                    (searcher.overdue, 1)
                } else {
                    (searcher.evidence.relative_latency, searcher.evidence.parts)
                };
                let mark = Mark { latency_ratio, parts, late: late && !reports_all_slow };
                self.replica.publish(now, name, &mark, now);
                if let Some(index) = published {
                    self.published_marks.swap_remove(index);
                }
                self.published_marks.push(PublishedMark { searcher: name.to_owned(), at: now, late });
            }
            (false, Some(index)) => {
                self.replica.retract::<Mark>(now, name);
                self.published_marks.swap_remove(index);
            }
            (false, None) => {}
        }
    }

    /// Publishes the start of a searcher's process, unless this mixer has done so already.
    fn publish_process_start(&mut self, now: f64, name: &str, started_at_ms: f64) {
        let reports = self.replica.reports::<ProcessStart>(now, name);
        let is_published = reports
            .iter()
            .any(|r| r.origin == self.replica.local_name() && r.value.started_at_ms == started_at_ms);
        if !is_published {
            self.replica.publish(now, name, &ProcessStart { started_at_ms }, now);
        }
    }

    /// Applies a batch of another mixer. Returns the resulting events for the decision module, or why the batch was rejected.
    pub fn receive(
        &mut self,
        now: f64,
        from: usize,
        batch: &RecordBatch,
    ) -> Result<Vec<Event>, RejectReason> {
        let changes = self.replica.apply(now, 0.0, &format!("m{from}"), batch)?;
        let advice = self.policy.apply_changes(now, &changes, &self.replica);
        Ok(advice.into_iter().map(Advice::to_event).collect())
    }

    pub fn tick(&mut self, now: f64) -> Vec<Event> {
        self.replica.tick(now);
        self.policy.tick(now).into_iter().map(Advice::to_event).collect()
    }

    /// Records that this replica has and the other lacks.
    pub fn delta(&self, now: f64, other: &Self) -> Vec<RecordBatch> {
        self.replica.delta(now, &other.replica.version_vector(), BATCH_BYTES).batches
    }
}
