//! Mixers that tell each other what they know: the replicas and how far they are heeded, on ways that are late and lossy.

use pewterwharf::interface::Event;
use pewterwharf::report::ObservedSearcher;
use pewterwharf_peers::Incarnation;
use pewterwharf_replica::kinds::{Mark, ProcessStart};
use pewterwharf_replica::{
    Advice, Limits, LocalStatus, PeerReportPolicy, RecordBatch, RejectReason, Replica,
};

/// A mark that stays is said anew this often, as on the sockets.
const AGAIN_MS: f64 = 700.0;
/// What a mixer may hold of all others, in bytes.
const ROOM: usize = 2 << 20;
const PIECE: usize = 12 * 1024;

/// One mixer's copies.
pub(crate) struct Copies {
    pub replica: Replica,
    policy: PeerReportPolicy,
    /// What of its own it has told the others.
    told: u64,
    /// What it says of whom, since when, and whether that a part is late.
    marked_at: Vec<(String, f64, bool)>,
}

impl Copies {
    pub fn new(mixer: usize, mixers: usize) -> Self {
        let named = (0..mixers).map(|m| format!("m{m}"));
        let me = format!("m{mixer}");
        let replica =
            Replica::new(&me, Incarnation::first(mixer as u64), named, Limits::per_origin(ROOM, mixers));
        let mut policy = PeerReportPolicy::new(&me);
        policy.set_mixer_count(mixers as u32);
        Self { replica, policy, told: 0, marked_at: Vec::new() }
    }

    /// Says what is new of what the module knows; a liar marks all. What the others are to be told.
    pub fn look(
        &mut self,
        now: f64,
        known: &[ObservedSearcher],
        lies: bool,
    ) -> (Vec<Event>, Option<RecordBatch>) {
        let mut events = Vec::new();
        for one in known {
            let (own, name) = (LocalStatus::from_report(one), one.searcher.to_string());
            events
                .extend(self.policy.local_status_changed(now, one.searcher, Some(own)).map(Advice::to_event));
            let held = self.marked_at.iter().position(|m| m.0 == name);
            match (one.marked || own.late || lies, held) {
                (true, Some(at))
                    if now - self.marked_at[at].1 < AGAIN_MS && self.marked_at[at].2 == own.late => {}
                (true, held) => {
                    let (latency_ratio, parts) = match lies {
                        true => (9.0, 9),
                        false if own.late => (one.overdue, 1),
                        false => (one.evidence.relative_latency, one.evidence.parts),
                    };
                    let late = own.late && !lies;
                    self.replica.publish(now, &name, &Mark { latency_ratio, parts, late }, now);
                    held.into_iter().for_each(|at| drop(self.marked_at.swap_remove(at)));
                    self.marked_at.push((name.clone(), now, own.late));
                }
                (false, Some(at)) => {
                    self.replica.retract::<Mark>(now, &name);
                    self.marked_at.swap_remove(at);
                }
                (false, None) => {}
            }
            if one.cold {
                let said = self.replica.reports::<ProcessStart>(now, &name);
                if !said
                    .iter()
                    .any(|s| s.origin == self.replica.local_name() && s.value.started_at_ms == one.started_at)
                {
                    self.replica.publish(now, &name, &ProcessStart { started_at_ms: one.started_at }, now);
                }
            }
        }
        let part = self.replica.own_records_since(now, self.told, PIECE);
        self.told = part.as_ref().map_or(self.told, |part| part.through);
        (events, part)
    }

    /// Takes a word; the events that come of it, or that something between is missing.
    pub fn heard(&mut self, now: f64, from: usize, part: &RecordBatch) -> Result<Vec<Event>, RejectReason> {
        let news = self.replica.apply(now, 0.0, &format!("m{from}"), part)?;
        let advice = self.policy.apply_changes(now, &news, &self.replica);
        Ok(advice.into_iter().map(Advice::to_event).collect())
    }

    pub fn tick(&mut self, now: f64) -> Vec<Event> {
        self.replica.tick(now);
        self.policy.tick(now).into_iter().map(Advice::to_event).collect()
    }

    /// What this one holds and another lacks.
    pub fn delta(&self, now: f64, other: &Self) -> Vec<RecordBatch> {
        self.replica.delta(now, &other.replica.version_vector(), PIECE).batches
    }
}
