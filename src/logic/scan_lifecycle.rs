//! Life cycle of scans: a scan is accepted, advanced until it is whole or cannot become whole, and then
//! answered, rejected or abandoned.

use std::collections::BTreeSet;

use super::CustomerTraffic;
use crate::interface::Action;
use crate::state::{
    Candidate, Location, Part, PartState, Scan, ScanIndex, Scheduler, Timer, Turn, TypeIndex,
};

/// A scan as the host passes it on; see [`Event::Scan`](crate::interface::Event::Scan).
pub(super) struct ScanRequest {
    pub(super) id: u64,
    pub(super) number: u32,
    pub(super) table_type: TypeIndex,
    pub(super) customer: usize,
    pub(super) deadline_at: f64,
    pub(super) work_ms: Option<f64>,
    pub(super) retry: bool,
}

impl Scheduler {
    /// A sum of weights that is lower than the required weight by this much still counts as enough, because
    /// weights are rounded.
    pub(super) const WEIGHT_TOLERANCE: f64 = 1e-5;
    /// Share of the target time that a client's retry is assumed to have left. How much it really has is not
    /// known; this is the middle between nothing and all.
    const RETRY_TARGET_SHARE: f64 = 0.5;
    /// Step between the sampling numbers of consecutive scans, modulo 1. With the golden ratio as step, the
    /// numbers are spread evenly over 0 to 1, however many scans there are.
    const SAMPLING_STEP: f64 = 0.618_033_988_749_895;
    /// The target time and the deadline of a scan are brought forward by this, so that its answer arrives in
    /// time: a tick and some reserve.
    pub(super) const ANSWER_LEAD_MS: f64 = 30.0;
    /// A scan without any answered part ends when this many of its parts have lost their connection: it may
    /// crash the searchers that it reaches. For a while, its customer's scans then send one part first. The
    /// same happens to sound scans while many searchers crash for another reason.
    const FATAL_CONNECTION_LOSSES: u32 = 2;
    /// Sum of the weights of all parts of a step.
    const ALL_PARTS_WEIGHT: f64 = 1.0;

    pub(super) fn accept_scan(&mut self, request: ScanRequest, now: f64) {
        self.count_accepted(now);
        self.customers.record_scan(request.customer, now);
        let Some(terms) = self.table_types.get(request.table_type) else { return };
        let target_ms = terms.target_ms + terms.target_ms_per_work_ms * request.work_ms.unwrap_or(0.0);
        let left_ms = if request.retry { Self::RETRY_TARGET_SHARE * target_ms } else { target_ms };
        let target_at = now + left_ms.min(terms.query_timeout_ms) - Self::ANSWER_LEAD_MS;
        let deadline_at = request.deadline_at - Self::ANSWER_LEAD_MS;
        let scan = Scan {
            id: request.id,
            number: request.number,
            table_type: request.table_type,
            customer: request.customer,
            target_at,
            deadline_at,
            parts: Vec::new(),
            required_weight: terms.required_weight,
            minimum_weight: terms.minimum_weight.min(terms.required_weight),
            first_step_whole: true,
            in_second_step: false,
            connections_lost: 0,
            sampling_number: (self.sampling_offset + self.last_scan as f64 * Self::SAMPLING_STEP).fract(),
            parts_per_searcher: 1.0,
        };
        self.last_scan += 1;
        let index = self.last_scan;
        self.scans.insert(index, scan);
        self.locations.insert(request.id, Location::Scan { scan: index });
        self.timers.add(target_at, Timer::Target(index));
        self.timers.add(deadline_at, Timer::Deadline(index));
    }

    /// Adds a part to the newest scan of this number.
    pub(super) fn accept_part(&mut self, part: Part, scan_number: u32, now: f64) {
        self.count_accepted(now);
        let newest = self.scans.iter_mut().rfind(|(_, scan)| scan.number == scan_number);
        let Some((index, scan)) = newest else { return };
        self.locations.insert(part.id, Location::Part { scan: *index, part: scan.parts.len() });
        self.changed_scans.insert(*index);
        self.demanded_work_rates[scan.table_type] +=
            scan.required_weight * self.baseline.work_ms[scan.table_type] / Self::TRAFFIC_MS;
        scan.parts.push(part);
    }

    /// Dispatches the parts that a scan lacks, and ends it as soon as it is whole or cannot become whole.
    pub(super) fn advance(&mut self, index: ScanIndex, turn: &mut Turn) {
        let now = turn.now;
        let Some(scan) = self.scans.get(&index).filter(|scan| !scan.parts.is_empty()) else { return };
        if scan.answered_weight() + Self::WEIGHT_TOLERANCE >= scan.required_weight {
            return self.complete(index, true, turn);
        }
        let has_answers =
            scan.in_second_step || scan.parts.iter().any(|part| part.state == PartState::Answered);
        if !has_answers && scan.connections_lost >= Self::FATAL_CONNECTION_LOSSES {
            self.customers.set_cautious(scan.customer, now + CustomerTraffic::CAUTION_MS);
            return self.end(index, turn);
        }
        // A scan that may crash searchers sends one part at a time until one is answered.
        let is_suspect = scan.connections_lost > 0 || self.customers.is_cautious(scan.customer, now);
        let one_part_first = !has_answers && is_suspect;
        let is_new = !scan.in_second_step && scan.parts.iter().all(|part| part.dispatches.is_empty());
        if is_new && let Some(reason) = self.scan_rejection(index, now) {
            let Some(scan) = self.scans.get(&index) else { return };
            self.rejections[scan.table_type][reason as usize] += 1;
            return self.end(index, turn);
        }
        self.dispatch_lacking_parts(index, one_part_first, turn);
        self.end_if_unanswerable(index, turn);
    }

    /// Dispatches the best candidates until the scan lacks nothing.
    fn dispatch_lacking_parts(&mut self, index: ScanIndex, one_part_first: bool, turn: &mut Turn) {
        let now = turn.now;
        let within_budget = self.retry_budget.allows_one_more(now, self.busy_share);
        let Some(scan) = self.scans.get(&index) else { return };
        let mut lacking_weight = scan.required_weight - Self::WEIGHT_TOLERANCE - scan.expected_weight();
        let mut candidates: BTreeSet<Candidate> =
            (0..scan.parts.len()).filter_map(|part| self.candidate(scan, part, within_budget, now)).collect();
        while let Some(best) = candidates.pop_first().filter(|_| lacking_weight > 0.0) {
            let within_budget = self.retry_budget.allows_one_more(now, self.busy_share);
            let Some(scan) = self.scans.get(&index) else { return };
            let waits_for_part =
                scan.parts.iter().any(|part| part.state == PartState::InFlight && !part.hedge_due);
            if one_part_first && waits_for_part {
                break;
            }
            // A dispatch can make other candidates worse but never better. It is therefore enough to compute
            // the best candidate again before it is used.
            let current = self.candidate(scan, best.part, within_budget, now);
            if current.as_ref() == Some(&best) {
                lacking_weight -= scan.parts[best.part].weight;
                self.dispatch(index, best.part, best.searcher, turn);
            } else {
                candidates.extend(current);
            }
        }
    }

    /// Checks a scan whose answered and in-flight parts do not make a whole answer. It ends the scan if the
    /// parts that can still be answered do not suffice either; else the scan waits, and tries again at the
    /// next tick. A scan that can still get its minimum weight does not end while parts are in flight.
    fn end_if_unanswerable(&mut self, index: ScanIndex, turn: &mut Turn) {
        let now = turn.now;
        let Some(scan) = self.scans.get(&index) else { return };
        if scan.expected_weight() + Self::WEIGHT_TOLERANCE >= scan.required_weight {
            return;
        }
        self.waiting_scans.insert(index);
        let has_searcher =
            |part: &Part| self.shard_map.holders(part.shard).any(|searcher| self.searchers[searcher].is_up());
        let can_be_answered = |part: &Part| match part.state {
            PartState::Answered | PartState::InFlight => true,
            PartState::Unsent | PartState::Failed => self.may_repeat(scan, part, now) && has_searcher(part),
        };
        let attainable_weight = scan.weight_of(can_be_answered) + Self::WEIGHT_TOLERANCE;
        let has_in_flight = scan.parts.iter().any(|part| part.state == PartState::InFlight);
        // After its target time and without parts in flight, a scan only waits for budget or capacity. Its
        // client does better to retry.
        let is_late_and_idle = now >= scan.target_at && !has_in_flight;
        let cannot_be_whole = attainable_weight < scan.required_weight;
        let can_be_partial = attainable_weight >= scan.minimum_weight && has_in_flight;
        if is_late_and_idle || cannot_be_whole && !can_be_partial {
            self.end(index, turn);
        }
    }

    /// Ends a scan at its target time if the partial answer that it has is worth as much as a whole answer
    /// after the target time.
    pub(super) fn handle_target_time(&mut self, index: ScanIndex, turn: &mut Turn) {
        let Some(scan) = self.scans.get(&index) else { return };
        let terms = &self.table_types[scan.table_type];
        let answered = scan.answered_weight();
        let is_enough = answered + Self::WEIGHT_TOLERANCE >= scan.minimum_weight;
        let usable_weight = if is_enough { answered } else { 0.0 };
        let partial_benefit = usable_weight / scan.required_weight * terms.partial_benefit_share;
        if terms.late_benefit_share <= partial_benefit {
            self.end(index, turn);
        }
    }

    /// Answers a scan. The first answer of a scan with two steps opens its second step, for which the host
    /// passes new parts. The second step requires all of them; its minimum is that of the first step if the
    /// table type allows partial answers, else all parts too.
    fn complete(&mut self, index: ScanIndex, whole: bool, turn: &mut Turn) {
        let Some(scan) = self.scans.get_mut(&index) else { return };
        let whole = whole && scan.first_step_whole;
        turn.actions.push(Action::Complete { scan: scan.id, whole });
        if scan.in_second_step || !self.table_types[scan.table_type].has_second_step {
            return self.close(index, turn);
        }
        scan.in_second_step = true;
        scan.first_step_whole = whole;
        scan.minimum_weight = if scan.minimum_weight < scan.required_weight {
            scan.minimum_weight
        } else {
            Self::ALL_PARTS_WEIGHT
        };
        scan.required_weight = Self::ALL_PARTS_WEIGHT;
        let first_step_parts = std::mem::take(&mut scan.parts);
        turn.cancel(self.forget_parts(first_step_parts), self.permissions.cancel);
    }

    /// Ends a scan that will not be whole: with what is answered if that is enough, else with a throttling
    /// reply if a retry does no harm, else by abandoning it.
    pub(super) fn end(&mut self, index: ScanIndex, turn: &mut Turn) {
        let Some(scan) = self.scans.get(&index) else { return };
        let id = scan.id;
        let answered = scan.answered_weight() + Self::WEIGHT_TOLERANCE;
        // An answer to the first step at the deadline would open a second step that has no time left.
        let opens_step_too_late = !scan.in_second_step
            && self.table_types[scan.table_type].has_second_step
            && turn.now >= scan.deadline_at;
        // `answered` contains the tolerance once, so that this means an answered weight beyond the tolerance.
        let has_answer = answered > 2.0 * Self::WEIGHT_TOLERANCE;
        if has_answer && answered >= scan.minimum_weight && !opens_step_too_late {
            return self.complete(index, answered >= scan.required_weight, turn);
        }
        let may_retry =
            !scan.in_second_step && scan.parts.iter().all(|part| self.is_repeatable(scan, part, turn.now));
        let action = if may_retry {
            Action::Throttle { scan: id, retry_after_ms: self.permissions.retry_after_ms }
        } else {
            Action::Abandon { scan: id }
        };
        turn.actions.push(action);
        self.close(index, turn);
    }
}
