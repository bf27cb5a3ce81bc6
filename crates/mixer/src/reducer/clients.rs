//! The reducer's part for clients: their connections, what they ask, the answers, and the end of the program.

use std::collections::VecDeque;

use log::{debug, info};
use pewterwharf::interface::Event;

use super::{Due, Effect, Part, Phase, Reducer, Scan};
use crate::http::{self, Ask, ScanAsk};

/// While draining, new connections are served for so long: past the 0.4 s in which they may still come.
const LISTEN_MS: f64 = 600.0;
/// Clients get so long to close after their last answer before the program ends.
const LINGER_MS: f64 = 300.0;

pub(super) struct Client {
    /// The scan it waits for.
    scan: Option<u64>,
    /// Asked ahead of their turn, with the time they came.
    ahead: VecDeque<(f64, Ask, bool)>,
    /// The connection ends with the answer that is owed.
    close: bool,
    /// Its last answer has been given.
    over: bool,
    /// Told to send no more; what it had sent is still answered.
    hung: bool,
    /// Nothing more comes from it.
    ended: bool,
    idle_since: f64,
}

impl Client {
    fn new(now: f64) -> Self {
        let (scan, ahead, idle_since) = (None, VecDeque::new(), now);
        Self { scan, ahead, close: false, over: false, hung: false, ended: false, idle_since }
    }

    pub(super) fn idle(&self) -> bool {
        self.scan.is_none() && !self.over && !self.hung
    }
}

impl Reducer {
    pub(super) fn client_open(&mut self, now: f64, conn: u64) {
        self.counters.clients_accepted += 1;
        self.clients.insert(conn, Client::new(now));
        if self.clients.len() > self.clients_cap {
            self.make_room();
        }
    }

    /// Gives up the client that has been idle for longest.
    pub(super) fn make_room(&mut self) {
        let idle = self.clients.iter().filter(|c| c.1.idle());
        let longest = idle.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|c| *c.0);
        if let Some(conn) = longest {
            self.counters.clients_dropped_for_room += 1;
            self.hang_up(conn);
        }
    }

    fn hang_up_idle(&mut self) {
        let idle: Vec<u64> = self.clients.iter().filter(|c| c.1.idle()).map(|c| *c.0).collect();
        idle.into_iter().for_each(|conn| self.hang_up(conn));
    }

    /// Takes no more from an idle client. What it has sent by then is still read, and answered as the last.
    fn hang_up(&mut self, conn: u64) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        (client.hung, client.close) = (true, true);
        self.effects.push(Effect::HangUp { conn });
    }

    pub(super) fn client_end(&mut self, conn: u64) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.hung && client.scan.is_some() {
            client.ended = true; // by us: it still waits
            return;
        }
        let scan = client.scan;
        self.drop_client(conn);
        if let Some(scan) = scan {
            self.counters.scans_gone += 1;
            debug!("client {conn} left scan {scan}");
            self.forget(scan);
            self.events.push(Event::ClientGone { scan });
        }
    }

    fn drop_client(&mut self, conn: u64) {
        self.clients.remove(&conn);
        self.effects.push(Effect::DropClient { conn });
    }

    pub(super) fn asked(&mut self, now: f64, conn: u64, ask: Ask, close: bool) {
        let Some(client) = self.clients.get_mut(&conn).filter(|c| !c.over) else { return };
        if client.scan.is_none() {
            return self.ask(now, conn, ask, close);
        }
        client.ahead.push_back((now, ask, close));
    }

    fn ask(&mut self, now: f64, conn: u64, ask: Ask, close: bool) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.close |= close;
        }
        match ask {
            Ask::Scan(ask) => match self.known(&ask) {
                Ok((table_type, customer)) => self.scan(now, conn, ask, table_type, customer),
                Err((status, why)) => self.unusable(now, conn, status, &why),
            },
            Ask::Ready if matches!(self.phase, Phase::Ready) => self.answer(now, conn, 200, None, b"ready\n"),
            Ask::Ready => self.answer(now, conn, 503, None, b"not ready\n"),
            Ask::Healthy => self.answer(now, conn, 200, None, b"healthy\n"),
            Ask::Counters => {
                let text = self.counters().to_string();
                self.answer(now, conn, 200, None, text.as_bytes());
            }
            Ask::Unusable(status, why) => self.unusable(now, conn, status, &why),
        }
    }

    /// The indices of the names that a scan gives.
    fn known(&self, ask: &ScanAsk) -> Result<(usize, usize), (u16, String)> {
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let table_type = index(&self.terms.type_names, &ask.table_type)
            .ok_or_else(|| (404, format!("no table type {:?}", ask.table_type)))?;
        let customer = match &ask.customer {
            _ if self.terms.customers.is_empty() => 0,
            None => return Err((400, "Req-Owner is missing".to_owned())),
            Some(name) => index(&self.terms.customer_names, name)
                .ok_or_else(|| (400, format!("no customer {name:?}")))?,
        };
        match ask.parts.iter().find(|p| p.shard >= self.terms.shards) {
            Some(part) => Err((400, format!("no shard {}", part.shard))),
            None => Ok((table_type, customer)),
        }
    }

    fn unusable(&mut self, now: f64, conn: u64, status: u16, why: &str) {
        self.counters.requests_unusable += 1;
        debug!("a request was answered {status}: {why}");
        self.answer(now, conn, status, None, format!("{why}\n").as_bytes());
    }

    fn scan(&mut self, now: f64, conn: u64, ask: ScanAsk, table_type: usize, customer: usize) {
        self.counters.scans_taken += 1;
        let held = self.scans.len() + self.parts.len();
        if held + 1 + ask.parts.len() > self.terms.open_cap {
            self.counters.scans_throttled += 1;
            self.counters.scans_turned_away += 1;
            return self.answer(now, conn, 503, self.terms.permits.back_in_ms, b"full\n");
        }
        let id = self.id();
        self.scan_number = self.scan_number.wrapping_add(1);
        let (number, gone_at) = (self.scan_number, now + ask.wait_ms);
        let work: Option<Vec<f64>> = ask.parts.iter().map(|p| p.work_ms).collect();
        let work_ms = work.map(|w| w.iter().sum());
        let retry = ask.retry;
        self.events.push(Event::Scan { id, number, table_type, customer, gone_at, work_ms, retry });
        let mut parts = Vec::with_capacity(ask.parts.len());
        for part in &ask.parts {
            let at = self.id();
            parts.push(at);
            self.events.push(Event::Part { id: at, number, shard: part.shard, weight: part.weight });
            let name = format!("{}.{}", ask.id, part.shard);
            #[rustfmt::skip]
            let part = Part { scan: id, name, shard: part.shard, sent: 0, value: None, links: Vec::new() };
            self.parts.insert(at, part);
        }
        self.scans.insert(id, Scan { conn, text: ask.text, parts });
        self.add_due(gone_at, Due::Overdue(id));
        if let Some(client) = self.clients.get_mut(&conn) {
            client.scan = Some(id);
        }
    }

    /// Gives a scan its final answer.
    pub(super) fn answer_scan(
        &mut self,
        now: f64,
        scan: u64,
        status: u16,
        back_in_ms: Option<f64>,
        body: &[u8],
    ) {
        let Some(conn) = self.scans.get(&scan).map(|s| s.conn) else { return };
        debug!("scan {scan} of client {conn} is answered {status}");
        self.forget(scan);
        self.answer(now, conn, status, back_in_ms, body);
    }

    /// Forgets a scan and its parts; dispatches that are out end by themselves.
    fn forget(&mut self, scan: u64) {
        let Some(scan) = self.scans.remove(&scan) else { return };
        for id in scan.parts {
            if let Some(part) = self.parts.remove(&id) {
                self.forget_part(part);
            }
        }
    }

    fn answer(&mut self, now: f64, conn: u64, status: u16, back_in_ms: Option<f64>, body: &[u8]) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        (client.scan, client.idle_since) = (None, now);
        client.close |= matches!(self.phase, Phase::Draining { .. } | Phase::Closed);
        client.over = client.close;
        let (last, ended, next) = (client.close, client.ended, client.ahead.pop_front());
        let bytes = http::answer(status, back_in_ms, body, last);
        self.effects.push(Effect::Answer { conn, bytes, last });
        if ended {
            self.drop_client(conn);
        } else if last {
            self.add_due(now + LINGER_MS, Due::Linger(conn));
        }
        if let Some((at, ask, close)) = next.filter(|_| !last) {
            self.ask(at, conn, ask, close);
        }
    }

    pub(super) fn stop(&mut self, now: f64) {
        match self.phase {
            Phase::Closed => {}
            Phase::Draining { .. } => {
                // Asked twice: whoever asks does not want to wait.
                for scan in self.scans.keys().copied().collect::<Vec<_>>() {
                    self.counters.scans_abandoned += 1;
                    self.events.push(Event::ClientGone { scan });
                    self.answer_scan(now, scan, 504, None, b"the mixer ends\n");
                }
                self.phase = Phase::Draining { listen_until: now, listening: true };
            }
            Phase::Opening | Phase::Ready => {
                info!("draining");
                self.phase = Phase::Draining { listen_until: now + LISTEN_MS, listening: true };
                self.add_due(now + LISTEN_MS, Due::Drained);
                self.hang_up_idle();
            }
        }
    }

    /// Ends the program once new connections come no more and all that was taken is answered.
    pub(super) fn end_drain(&mut self, now: f64) {
        let Phase::Draining { listen_until, listening } = self.phase else { return };
        if now < listen_until {
            return;
        }
        if listening {
            self.phase = Phase::Draining { listen_until, listening: false };
            self.effects.push(Effect::StopListening);
            self.hang_up_idle();
        }
        if !self.scans.is_empty() {
            return;
        }
        let lingers = self.clients.values().map(|c| c.idle_since + LINGER_MS);
        let lingers = lingers.fold(listen_until + LINGER_MS, f64::max);
        if self.clients.is_empty() || lingers <= now {
            self.phase = Phase::Closed;
        } else {
            self.add_due(lingers, Due::Drained);
        }
    }
}
