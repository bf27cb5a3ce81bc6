//! The reducer's part for clients: their connections, what they ask, and the answers.

use pewterwharf::interface::{Event, Idempotency};
use tracing::debug;

use super::Reducer;
use super::held::{Client, ClientStanding, Due, Part, Scan};
use super::rules::{self, ClientCloseReason, Violation};
use crate::counters::ByType;
use crate::http::{self, Ask, ScanAsk};
use crate::inputs::{Effect, Phase};

/// A client that has no request open may be let go of after so long: the protocol's time. One that has begun a
/// request must have come to its end by then.
const QUIET_MS: f64 = 2000.0;
/// A client asks as soon as it is connected: after so long it is one that does not, the machine's own halts aside.
const FRESH_MS: f64 = 100.0;
const REQUEST_TIMEOUT: u16 = 408;
/// Requests in a row that can't be used, after which the connection ends: a mistake is told more than once.
const FAULTS: u32 = 3;

impl Reducer {
    pub(super) fn client_open(&mut self, now: f64, conn: u64) {
        self.counters.clients_accepted += 1;
        self.clients.insert(conn, Client::new(now));
        self.add_due(now + QUIET_MS, Due::Quiet(conn));
        // Who is on its way out has been counted out already.
        if self.clients.values().filter(|c| !c.hung).count() > self.clients_cap {
            self.make_room(now);
        }
        // It waited to be accepted as listening ended: it stays if it has asked by now.
        if matches!(self.phase, Phase::Draining { listening: false, .. }) {
            self.hang_up(now, conn, ClientCloseReason::Draining);
        }
    }

    pub(super) fn begun(&mut self, now: f64, conn: u64) {
        let begins = |c: &&mut Client| c.scan.is_none() && c.standing != ClientStanding::Over;
        if let Some(client) = self.clients.get_mut(&conn).filter(begins) {
            (client.standing, client.since) = (ClientStanding::New, now);
            self.rest_client(now, conn);
        }
    }

    pub(super) fn sent_behind(&mut self, conn: u64) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.sent_behind = true;
        }
    }

    /// Sets the time at which a client that asks nothing is looked at.
    fn rest_client(&mut self, now: f64, conn: u64) {
        if let Some(client) = self.clients.get_mut(&conn).filter(|c| !c.watched) {
            client.watched = true;
            self.add_due(now + QUIET_MS, Due::Quiet(conn));
        }
    }

    /// Who has not asked in its time is answered so; who rests leaves once half of the places are taken.
    pub(super) fn quiet(&mut self, now: f64, conn: u64) {
        let crowded = 2 * self.clients.len() > self.clients_cap;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.watched = false;
        // One that was hung up on while it began a request still has its time to end it.
        let rests = client.hung && client.standing != ClientStanding::New;
        if client.scan.is_some() || client.standing == ClientStanding::Over || rests {
            return;
        }
        if now < client.since + QUIET_MS {
            client.watched = true;
            let at = client.since + QUIET_MS;
            return self.add_due(at, Due::Quiet(conn));
        }
        match client.standing {
            ClientStanding::New => self.answer_incomplete_request(now, conn),
            ClientStanding::Resting if crowded => {
                self.counters.clients_dropped_for_room += 1;
                self.hang_up(now, conn, ClientCloseReason::Crowded);
            }
            _ => self.rest_client(now, conn),
        }
    }

    /// Answers a client whose request has not come whole in its time.
    pub(super) fn answer_incomplete_request(&mut self, now: f64, conn: u64) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.close = true;
        self.counters.clients_slow += 1;
        self.answer(now, conn, REQUEST_TIMEOUT, None, b"no whole request in time\n");
    }

    /// Gives up the client that matters least: one that has had its last answer, else one that has had time to
    /// ask and did not, else one at rest, else one that has just come; of these the one that stands so for longest.
    pub(super) fn make_room(&mut self, now: f64) {
        let free = self.clients.iter().filter(|c| c.1.scan.is_none() && !c.1.hung);
        let rank = |c: &Client| match c.standing {
            ClientStanding::Over => 0,
            ClientStanding::New if now - c.since >= FRESH_MS => 1,
            ClientStanding::Resting => 2,
            ClientStanding::New => 3,
        };
        if let Some(conn) = free.min_by_key(|c| (rank(c.1), c.1.since.max(0.0).to_bits())).map(|c| *c.0) {
            self.counters.clients_dropped_for_room += 1;
            self.hang_up(now, conn, ClientCloseReason::Room);
        }
    }

    /// Whether a further client would get a place: one is free, or somebody who waits for nothing would leave it.
    pub fn places_left(&self) -> bool {
        self.clients.len() < self.clients_cap || self.clients.values().any(|c| c.scan.is_none() && !c.hung)
    }

    /// Takes no more from a client, where the rules allow it now. What it has sent by then is still read, and answered as the last.
    pub(super) fn hang_up(&mut self, now: f64, conn: u64, reason: ClientCloseReason) {
        let draining = self.is_draining();
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if !rules::may_close_client(client, reason, draining, now) {
            return;
        }
        client.hung = true;
        client.hung_until.get_or_insert(rules::serves_behind_until(now));
        debug!("client {conn} is hung up on: {reason}");
        let count = match reason {
            ClientCloseReason::Room => &mut self.counters.clients_closed_for_room,
            ClientCloseReason::Crowded => &mut self.counters.clients_closed_crowded,
            ClientCloseReason::Draining => &mut self.counters.clients_closed_draining,
            ClientCloseReason::LastAnswerGiven => &mut self.counters.clients_closed_after_last_answer,
        };
        *count += 1;
        self.effects.push(Effect::CloseClient { conn });
    }

    pub(super) fn client_end(&mut self, now: f64, conn: u64) {
        let Some(client) = self.clients.get(&conn) else { return };
        let scan = client.scan;
        self.drop_client(conn);
        if let Some(scan) = scan {
            self.counters.scans_gone += 1;
            self.count_type(scan, |of| &mut of.gone);
            if let Some(query) = self.scans.get(&scan) {
                debug!("query {}: client {conn} has gone after {:.1} ms", query.name, now - query.taken_at);
            }
            self.forget(scan);
            self.events.push(Event::ClientGone { scan });
        }
    }

    fn drop_client(&mut self, conn: u64) {
        self.clients.remove(&conn);
        self.effects.push(Effect::ReleaseClient { conn });
    }

    pub(super) fn asked(&mut self, now: f64, conn: u64, ask: Ask, close: bool) {
        let open = |c: &&mut Client| c.standing != ClientStanding::Over && c.scan.is_none();
        let Some(client) = self.clients.get_mut(&conn).filter(open) else { return };
        client.close |= close;
        client.awaits_answer = true;
        client.faults += 1; // unless it turns out to be none
        match ask {
            Ask::Scan(ask) => match self.known(&ask) {
                Ok((table_type, customer)) => self.scan(now, conn, ask, table_type, customer),
                Err((status, why)) => self.unusable(now, conn, status, &why),
            },
            Ask::Unusable(status, why) => self.unusable(now, conn, status, &why),
            page => self.page(now, conn, &page),
        }
    }

    fn page(&mut self, now: f64, conn: u64, page: &Ask) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.faults = 0;
        }
        match page {
            Ask::Ready if matches!(self.phase, Phase::Ready) => self.answer(now, conn, 200, None, b"ready\n"),
            Ask::Ready => self.answer(now, conn, 503, None, b"not ready\n"),
            Ask::Counters => {
                let text = self.counters().to_string();
                self.answer(now, conn, 200, None, text.as_bytes());
            }
            _ => self.answer(now, conn, 200, None, b"healthy\n"),
        }
    }

    /// The indices of the names that a scan gives.
    fn known(&self, ask: &ScanAsk) -> Result<(usize, usize), (u16, String)> {
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let table_type = index(&self.terms.table_type_names, &ask.table_type)
            .ok_or_else(|| (404, format!("no table type {:?}", ask.table_type)))?;
        let customer = match &ask.customer {
            _ if self.terms.customers.is_empty() => 0,
            None => return Err((400, "Req-Owner is missing".to_owned())),
            Some(name) => index(&self.terms.customer_names, name)
                .ok_or_else(|| (400, format!("no customer {name:?}")))?,
        };
        if let Some(part) = ask.parts.iter().find(|p| p.shard >= self.terms.shard_count) {
            return Err((400, format!("no shard {}", part.shard)));
        }
        // Nothing but its name tells an answer's part.
        match self.asked.contains(&ask.id) {
            true => Err((409, format!("the request {} is still open", ask.id))),
            false => Ok((table_type, customer)),
        }
    }

    fn unusable(&mut self, now: f64, conn: u64, status: u16, why: &str) {
        self.counters.requests_unusable += 1;
        debug!("a request was answered {status}: {why}");
        if let Some(client) = self.clients.get_mut(&conn) {
            client.close |= client.faults >= FAULTS;
        }
        self.answer(now, conn, status, None, format!("{why}\n").as_bytes());
    }

    fn scan(&mut self, now: f64, conn: u64, ask: ScanAsk, table_type: usize, customer: usize) {
        self.counters.scans_taken += 1;
        self.counters.by_type[table_type].taken += 1;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.faults = 0;
        }
        let open = self.scans.len() + self.parts.len();
        let drain_serves_until = self.drain_serves_until(now);
        let refused = |client: &Client| rules::is_refused_before_others(client, drain_serves_until, now);
        if self.clients.get(&conn).is_some_and(refused) {
            self.counters.scans_throttled += 1;
            self.counters.by_type[table_type].throttled += 1;
            self.counters.scans_refused_at_end += 1;
            return self.answer(now, conn, 503, self.terms.permissions.retry_after_ms, b"closing\n");
        }
        if !rules::may_take_query(open, ask.parts.len(), self.terms.max_open) {
            self.counters.scans_throttled += 1;
            self.counters.by_type[table_type].throttled += 1;
            self.counters.scans_turned_away += 1;
            return self.answer(now, conn, 503, self.terms.permissions.retry_after_ms, b"full\n");
        }
        let id = self.id();
        self.scan_number = self.scan_number.wrapping_add(1);
        let terms = &self.terms.table_types[table_type];
        let (number, gone_at) = (
            self.scan_number,
            rules::query_deadline(now, ask.wait_ms, terms.query_timeout_ms, self.ends_at()),
        );
        let work: Option<Vec<f64>> = ask.parts.iter().map(|p| p.work_ms).collect();
        let work_ms = work.map(|w| w.iter().sum());
        let retry = ask.retry;
        self.events.push(Event::Scan {
            id,
            number,
            table_type,
            customer,
            deadline_at: gone_at,
            work_ms,
            retry,
        });
        let repeat_until = match self.terms.table_types[table_type].idempotency {
            Idempotency::Replayable => f64::INFINITY,
            Idempotency::Keyed { window_ms } => now + window_ms,
            Idempotency::NonReplayable => f64::NEG_INFINITY,
        };
        let mut parts = Vec::with_capacity(ask.parts.len());
        for part in &ask.parts {
            let at = self.id();
            parts.push(at);
            self.events.push(Event::Part { id: at, number, shard: part.shard, weight: part.weight });
            let name = format!("{}.{}", ask.id, part.shard).into();
            let part = Part {
                scan: id,
                name,
                shard: part.shard,
                sent: 0,
                may_have_run: 0,
                repeat_until,
                last_ending: None,
                value: None,
            };
            self.parts.insert(at, part);
        }
        debug!(
            "query {} of client {conn}: class {}, {} parts, {:.0} ms",
            ask.id,
            ask.table_type,
            parts.len(),
            gone_at - now
        );
        self.asked.insert(ask.id.clone());
        let query = Scan {
            conn,
            name: ask.id,
            text: ask.text,
            table_type,
            deadline_at: gone_at,
            taken_at: now,
            parts,
        };
        self.scans.insert(id, query);
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
        let Some(query) = self.scans.get(&scan) else { return };
        let conn = query.conn;
        let reason = String::from_utf8_lossy(if status == 200 { b"served" } else { body.trim_ascii_end() });
        let took_ms = now - query.taken_at;
        debug!("query {} of client {conn} is answered {status} after {took_ms:.1} ms: {reason}", query.name);
        self.forget(scan);
        self.answer(now, conn, status, back_in_ms, body);
    }

    /// Counts one more of what became of the scans of a table type.
    pub(super) fn count_type(&mut self, scan: u64, of: fn(&mut ByType) -> &mut u64) {
        let held = self.scans.get(&scan).map(|s| s.table_type);
        if let Some(counts) = held.and_then(|kind| self.counters.by_type.get_mut(kind)) {
            *of(counts) += 1;
        }
    }

    /// Forgets a scan and its parts; dispatches that are out end by themselves.
    fn forget(&mut self, scan: u64) {
        let Some(scan) = self.scans.remove(&scan) else { return };
        self.asked.remove(&scan.name);
        for id in scan.parts {
            self.parts.remove(&id);
        }
    }

    fn answer(&mut self, now: f64, conn: u64, status: u16, back_in_ms: Option<f64>, body: &[u8]) {
        let drain_serves_until = self.drain_serves_until(now);
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let awaited = std::mem::take(&mut client.awaits_answer);
        let last = rules::is_last_answer(client, drain_serves_until, now);
        client.refused_behind += u32::from(rules::is_refused_before_others(client, drain_serves_until, now));
        client.sent_behind = false;
        (client.scan, client.since, client.standing) = (None, now, ClientStanding::Resting);
        let bytes = http::encode_answer(status, back_in_ms, body, last);
        self.effects.push(Effect::Answer { conn, bytes, last });
        if last {
            client.standing = ClientStanding::Over;
            self.add_due(now + rules::LINGER_MS, Due::Linger(conn));
        } else {
            self.rest_client(now, conn);
        }
        // Who has begun a request and does not end it is told so too.
        if !awaited && status != REQUEST_TIMEOUT {
            self.violated(Violation::Answer, &format!("client {conn}, status {status}"));
        }
    }

    /// An answer is on its way for longer: its client's time to close begins once it is written.
    pub(super) fn slow(&mut self, conn: u64) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.slow = true;
        }
    }

    pub(super) fn said(&mut self, now: f64, conn: u64) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        (client.slow, client.since) = (false, now);
        if client.standing == ClientStanding::Over {
            self.add_due(now + rules::LINGER_MS, Due::Linger(conn));
        }
    }

    /// It still sends after its last answer.
    pub(super) fn sends(&mut self, conn: u64) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.sends = true;
        }
    }

    /// Ends the connection of a client that has had its last answer and its time to close. While draining, one that still sends
    /// has until it closes, or until the end.
    pub(super) fn linger(&mut self, now: f64, conn: u64) {
        self.hang_up(now, conn, ClientCloseReason::LastAnswerGiven);
    }
}
