//! A mixer on a small made-up deployment, and a printed trace of what it is told and decides.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

use pewterwharf::interface::*;
use pewterwharf::logic::Mixer;

pub fn table_type(repeat: Idempotency, need: f64) -> TableType {
    TableType {
        target_ms: 1000.0,
        query_timeout_ms: 2000.0,
        benefit: 1.0,
        late_benefit_share: 0.5,
        target_ms_per_work_ms: 0.0,
        idempotency: repeat,
        required_weight: need,
        minimum_weight: need,
        partial_benefit_share: 0.9,
        has_second_step: false,
    }
}

pub struct Rig {
    mixer: Mixer,
    now: f64,
    wake: f64,
    scans: u32,
    /// How busy searchers report to be, where they do.
    pub busy: Option<f64>,
    trace: String,
}

/// Searchers are numbered by the last byte of their address; every one holds every shard.
pub fn searcher(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 5000)
}

pub fn line(n: u8, since: f64, life: SearcherStatus) -> ListedSearcher {
    ListedSearcher { searcher: searcher(n), cell: 0, zone: 0, started_at: since, status: life }
}

impl Rig {
    pub fn new(types: Vec<TableType>, budget: Option<RetryBudget>) -> Self {
        Self::with(types, budget, 1, true, None)
    }

    pub fn among(mixers: u32, types: Vec<TableType>) -> Self {
        Self::with(types, None, mixers, true, None)
    }

    pub fn unprobed(types: Vec<TableType>) -> Self {
        Self::with(types, None, 1, false, None)
    }

    /// Where the list has to be asked for.
    pub fn asking(within_ms: f64) -> Self {
        Self::with(vec![table_type(Idempotency::Replayable, 1.0)], None, 1, false, Some(within_ms))
    }

    fn with(
        types: Vec<TableType>,
        budget: Option<RetryBudget>,
        mixers: u32,
        probe: bool,
        ask_within_ms: Option<f64>,
    ) -> Self {
        let layout = Layout { cells: 1, cells_per_shard: 1, parts_per_call: 1, call_work_ms: 0.0 };
        let (cold_capacity_share, warm_up_ms, overload_multiple, overload_window_ms) =
            (0.2, 10_000.0, 2.0, 1000.0);
        let guards = SafetyLimits {
            cold_capacity_share,
            warm_up_ms,
            overload_multiple,
            overload_window_ms,
            retry_budget: budget,
        };
        let permits = Permissions {
            cancel: true,
            probe,
            hedge: true,
            max_dispatches: 4,
            retry_after_ms: Some(500.0),
            resubscribe_within_ms: ask_within_ms,
        };
        let berth = Placement { mixers, zone: 0 };
        let customers = vec![Customer { scans_per_s: 100.0, over_quota_benefit_share: 0.2 }];
        let mixer = Mixer::new(7, types, customers, layout, guards, permits, berth);
        Self { mixer, now: 100_000.0, wake: 0.0, scans: 0, busy: None, trace: String::new() }
    }

    /// Lists `n` warm searchers.
    pub fn warm(&mut self, n: u8) {
        let lines = (1..=n).map(|n| line(n, 0.0, SearcherStatus::Ready)).collect();
        self.tell(vec![Event::List { kind: ListKind::Full, searchers: lines }]);
    }

    pub fn tell(&mut self, events: Vec<Event>) {
        for action in self.mixer.handle_events(self.now, events) {
            let at = self.now - 100_000.0;
            let line = match action {
                Action::WakeAt { at } => {
                    self.wake = at;
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
            writeln!(self.trace, "{at:>6} {line}").expect("a string takes all");
        }
    }

    /// Lets time pass, tick by tick.
    pub fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.wake <= end {
            self.now = self.wake;
            self.tell(vec![Event::Wake]);
        }
        self.now = end;
    }

    /// The mixer stands still: no tick comes.
    pub fn stall(&mut self, ms: f64) {
        self.now += ms;
    }

    /// A scan of so many parts of equal weight: scan 100, parts 101 and on; the next is 200.
    pub fn scan(&mut self, table_type: usize, parts: u32) {
        self.scans += 1;
        let (id, number) = (u64::from(self.scans) * 100, self.scans);
        let gone_at = self.now + 2000.0;
        let mut events = vec![Event::Scan {
            id,
            number,
            table_type,
            customer: 0,
            deadline_at: gone_at,
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
        self.tell(events);
    }

    pub fn ends(&mut self, part: u64, dispatch: u8, from: u8, ending: DispatchOutcome, took_ms: f64) {
        let _ = writeln!(self.trace, "{:>6}   {part}/{dispatch} ends {ending:?}", self.now - 100_000.0);
        self.tell(vec![Event::DispatchEnded {
            part,
            dispatch,
            searcher: searcher(from),
            outcome: ending,
            took_ms,
            busy: self.busy,
        }]);
    }

    /// What was decided since the last call.
    pub fn trace(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }
}
