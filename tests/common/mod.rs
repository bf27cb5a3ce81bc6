//! A test rig: a mixer in a small deployment, with a trace of its events and decisions.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

use pewterwharf::interface::*;
use pewterwharf::logic::Mixer;

/// When a test begins, by the module's clock.
const START_MS: f64 = 100_000.0;

pub fn table_type(idempotency: Idempotency, required_weight: f64) -> TableType {
    TableType {
        target_ms: 1000.0,
        query_timeout_ms: 2000.0,
        benefit: 1.0,
        late_benefit_share: 0.5,
        target_ms_per_work_ms: 0.0,
        idempotency,
        required_weight,
        minimum_weight: required_weight,
        partial_benefit_share: 0.9,
        has_second_step: false,
    }
}

pub struct Rig {
    mixer: Mixer,
    now: f64,
    wake_at: f64,
    scans: u32,
    /// Busy share of their cores that searchers report, if they do.
    pub busy: Option<f64>,
    trace: String,
}

/// Searchers are numbered by the last byte of their address; each holds every shard.
pub fn searcher(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 5000)
}

pub fn listed(n: u8, started_at: f64, status: SearcherStatus) -> ListedSearcher {
    ListedSearcher { searcher: searcher(n), cell: 0, zone: 0, started_at, status }
}

impl Rig {
    pub fn new(types: Vec<TableType>, budget: Option<RetryBudget>) -> Self {
        Self::with(types, budget, 1, true, None)
    }

    pub fn with_mixers(mixers: u32, types: Vec<TableType>) -> Self {
        Self::with(types, None, mixers, true, None)
    }

    pub fn without_probes(types: Vec<TableType>) -> Self {
        Self::with(types, None, 1, false, None)
    }

    /// A deployment in which the list must be requested.
    pub fn with_resubscription(within_ms: f64) -> Self {
        Self::with(vec![table_type(Idempotency::Replayable, 1.0)], None, 1, false, Some(within_ms))
    }

    fn with(
        types: Vec<TableType>,
        retry_budget: Option<RetryBudget>,
        mixers: u32,
        probe: bool,
        resubscribe_within_ms: Option<f64>,
    ) -> Self {
        let layout = Layout { cells: 1, cells_per_shard: 1, parts_per_call: 1, call_work_ms: 0.0 };
        let limits = SafetyLimits {
            cold_capacity_share: 0.2,
            warm_up_ms: 10_000.0,
            overload_multiple: 2.0,
            overload_window_ms: 1000.0,
            retry_budget,
        };
        let permissions = Permissions {
            cancel: true,
            probe,
            hedge: true,
            max_dispatches: 4,
            retry_after_ms: Some(500.0),
            resubscribe_within_ms,
        };
        let placement = Placement { mixers, zone: 0 };
        let customers = vec![Customer { scans_per_s: 100.0, over_quota_benefit_share: 0.2 }];
        let mixer = Mixer::new(7, types, customers, layout, limits, permissions, placement);
        Self { mixer, now: START_MS, wake_at: 0.0, scans: 0, busy: None, trace: String::new() }
    }

    /// Lists `n` warm searchers.
    pub fn list_warm(&mut self, n: u8) {
        let searchers = (1..=n).map(|n| listed(n, 0.0, SearcherStatus::Ready)).collect();
        self.handle(vec![Event::List { kind: ListKind::Full, searchers }]);
    }

    pub fn handle(&mut self, events: Vec<Event>) {
        for action in self.mixer.handle_events(self.now, events) {
            let at = self.now - START_MS;
            let line = match action {
                Action::WakeAt { at } => {
                    self.wake_at = at;
                    continue;
                }
                Action::Dispatch { part, searcher, .. } => {
                    format!("part {part} -> s{}", searcher.ip().octets()[3])
                }
                Action::Cancel { part, dispatch } => format!("cancel {part}/{dispatch}"),
                Action::Complete { scan, whole } => format!("complete {scan} whole={whole}"),
                Action::Throttle { scan, retry_after_ms } => {
                    format!("throttle {scan} back in {retry_after_ms:?}")
                }
                Action::Abandon { scan } => format!("abandon {scan}"),
                Action::Probe { searcher } => format!("probe s{}", searcher.ip().octets()[3]),
                Action::CloseIdleConnections { searcher } => {
                    format!("hang up on s{}", searcher.ip().octets()[3])
                }
                Action::Subscribe => "subscribe".to_owned(),
                Action::Log { line } => line,
            };
            writeln!(self.trace, "{at:>6} {line}").expect("writing to a string cannot fail");
        }
    }

    /// Lets time pass, tick by tick.
    pub fn advance_ms(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.wake_at <= end {
            self.now = self.wake_at;
            self.handle(vec![Event::Wake]);
        }
        self.now = end;
    }

    /// Lets time pass while the mixer is paused, without ticks.
    pub fn pause_ms(&mut self, ms: f64) {
        self.now += ms;
    }

    /// Sends a scan of `parts` parts of equal weight. The first scan is 100 with parts from 101 on, the next
    /// is 200.
    pub fn scan(&mut self, table_type: usize, parts: u32) {
        self.scan_with_deadline(table_type, parts, 2000.0);
    }

    /// Like [`Self::scan`], with this time left until the deadline. Returns the scan's id.
    pub fn scan_with_deadline(&mut self, table_type: usize, parts: u32, left_ms: f64) -> u64 {
        self.scans += 1;
        let number = self.scans;
        let id = u64::from(number) * 100;
        let mut events = vec![Event::Scan {
            id,
            number,
            table_type,
            customer: 0,
            deadline_at: self.now + left_ms,
            work_ms: None,
            retry: false,
        }];
        let weight = 1.0 / f64::from(parts);
        events.extend((0..parts).map(|shard| Event::Part {
            id: id + 1 + u64::from(shard),
            number,
            shard,
            weight,
        }));
        self.handle(events);
        id
    }

    pub fn end_dispatch(
        &mut self,
        part: u64,
        dispatch: u8,
        from: u8,
        outcome: DispatchOutcome,
        took_ms: f64,
    ) {
        let _ = writeln!(self.trace, "{:>6}   {part}/{dispatch} ends {outcome:?}", self.now - START_MS);
        self.handle(vec![Event::DispatchEnded {
            part,
            dispatch,
            searcher: searcher(from),
            outcome,
            took_ms,
            busy: self.busy,
        }]);
    }

    /// A text with the mixer's whole state.
    pub fn state_text(&self) -> String {
        format!("{:?}", self.mixer)
    }

    /// Takes the trace since the last call.
    pub fn trace(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }
}
