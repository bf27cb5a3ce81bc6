//! Clients: their connections, their requests, and the answers.

use pewterwharf::interface::{Event, Idempotency};
use tracing::debug;

use super::Reducer;
use super::rules::{self, ClientCloseReason, Violation};
use super::state::{Client, ClientState, Part, PartId, Scan, ScanId, Timer};
use crate::clock::UnixMs;
use crate::counters::TableTypeCounters;
use crate::http::{self, PartRequest, RequestError, RequestKind, ScanRequest};
use crate::inputs::{ConnectionId, Effect, Phase};

/// The protocol's time after which a client without an open request may be disconnected. A client that has
/// begun a request must have sent all of it by then.
const IDLE_MS: f64 = 2000.0;
/// Clients send a request as soon as they are connected: one that has sent none for this long will not,
/// unless the machine paused.
const FIRST_REQUEST_MS: f64 = 100.0;
const REQUEST_TIMEOUT: u16 = 408;
const CONFLICT: u16 = 409;
/// Unusable requests in a row after which the connection ends. A client gets more than one answer that
/// explains its mistake.
const MAX_UNUSABLE_REQUESTS: u32 = 3;

/// The indices of a scan's table type and customer in the configuration, found by the names that it gives.
struct ScanIds {
    table_type: usize,
    customer: usize,
}

impl Reducer {
    pub(super) fn client_connected(&mut self, now: UnixMs, connection_id: ConnectionId) {
        self.counters.clients_accepted += 1;
        self.clients.insert(connection_id, Client::new(now));
        self.set_idle_timer(now + IDLE_MS, connection_id);
        // Clients that are being closed are not counted, as their places will be free.
        if self.clients.values().filter(|c| !c.closing).count() > self.max_clients {
            self.make_room(now);
        }
        // The client still waited to be accepted when listening ended. It is served only if it has already sent
        // a request.
        if matches!(self.phase, Phase::Draining { listening: false, .. }) {
            self.close_client(now, connection_id, ClientCloseReason::Draining);
        }
    }

    pub(super) fn request_started(&mut self, now: UnixMs, connection_id: ConnectionId) {
        let is_open = |c: &&mut Client| c.scan.is_none() && c.state != ClientState::Finished;
        if let Some(client) = self.clients.get_mut(&connection_id).filter(is_open) {
            client.state = ClientState::AwaitingRequest;
            client.state_since = now;
            self.set_idle_timer(now + IDLE_MS, connection_id);
        }
    }

    pub(super) fn more_data_buffered(&mut self, connection_id: ConnectionId) {
        if let Some(client) = self.clients.get_mut(&connection_id) {
            client.has_buffered_data = true;
        }
    }

    /// Sets the idle timer of a client, unless it is set already.
    fn set_idle_timer(&mut self, at: UnixMs, connection_id: ConnectionId) {
        if let Some(client) = self.clients.get_mut(&connection_id).filter(|c| c.idle_timer_at.is_none()) {
            client.idle_timer_at = Some(at);
            self.add_timer(at, Timer::ClientIdle(connection_id));
        }
    }

    /// Answers a client whose request is not complete in time. An idle client is closed once half of the
    /// places are taken.
    pub(super) fn check_idle_client(&mut self, now: UnixMs, connection_id: ConnectionId) {
        let crowded = 2 * self.clients.len() > self.max_clients;
        let Some(client) = self.clients.get_mut(&connection_id) else { return };
        client.idle_timer_at = None;
        // A client that was sending a request when its connection began to close still has time to complete it.
        let is_closing = client.closing && client.state != ClientState::AwaitingRequest;
        if client.scan.is_some() || client.state == ClientState::Finished || is_closing {
            return;
        }
        let idle_at = client.state_since + IDLE_MS;
        if now < idle_at {
            return self.set_idle_timer(idle_at, connection_id);
        }
        match client.state {
            ClientState::AwaitingRequest => self.answer_incomplete_request(now, connection_id),
            ClientState::Idle if crowded => {
                self.counters.clients_dropped_for_room += 1;
                self.close_client(now, connection_id, ClientCloseReason::Crowded);
            }
            _ => self.set_idle_timer(now + IDLE_MS, connection_id),
        }
    }

    /// Answers a client whose request is not complete in time.
    pub(super) fn answer_incomplete_request(&mut self, now: UnixMs, connection_id: ConnectionId) {
        let Some(client) = self.clients.get_mut(&connection_id) else { return };
        client.close_after_answer = true;
        self.counters.clients_slow += 1;
        self.answer(now, connection_id, REQUEST_TIMEOUT, None, b"no whole request in time\n");
    }

    /// Closes the least important client: one that has had its last answer, else one that has sent no request
    /// in time, else an idle one, else one that has just connected. Among these, the one that has been in its
    /// state for longest.
    pub(super) fn make_room(&mut self, now: UnixMs) {
        let candidates = self.clients.iter().filter(|(_, c)| c.scan.is_none() && !c.closing);
        let rank = |c: &Client| match c.state {
            ClientState::Finished => 0,
            ClientState::AwaitingRequest if now - c.state_since >= FIRST_REQUEST_MS => 1,
            ClientState::Idle => 2,
            ClientState::AwaitingRequest => 3,
        };
        let first = candidates.min_by_key(|(_, c)| (rank(c), c.state_since.max(0.0).to_bits()));
        if let Some(connection_id) = first.map(|(connection_id, _)| *connection_id) {
            self.counters.clients_dropped_for_room += 1;
            self.close_client(now, connection_id, ClientCloseReason::Room);
        }
    }

    /// Whether a further client would get a place: one is free, or a client that waits for nothing can be
    /// closed.
    pub fn has_room_for_client(&self) -> bool {
        self.clients.len() < self.max_clients || self.clients.values().any(|c| c.scan.is_none() && !c.closing)
    }

    /// Closes a client's connection if the rules allow it now. Requests that it has sent by then are still
    /// read and answered.
    pub(super) fn close_client(
        &mut self,
        now: UnixMs,
        connection_id: ConnectionId,
        reason: ClientCloseReason,
    ) {
        let draining = self.is_draining();
        let Some(client) = self.clients.get_mut(&connection_id) else { return };
        if !rules::may_close_client(client, reason, draining, now) {
            return;
        }
        client.closing = true;
        client.serves_buffered_until.get_or_insert(rules::serves_buffered_until(now));
        debug!("client {connection_id} is closed: {reason}");
        let count = match reason {
            ClientCloseReason::Room => &mut self.counters.clients_closed_for_room,
            ClientCloseReason::Crowded => &mut self.counters.clients_closed_crowded,
            ClientCloseReason::Draining => &mut self.counters.clients_closed_draining,
            ClientCloseReason::LastAnswerGiven => &mut self.counters.clients_closed_after_last_answer,
        };
        *count += 1;
        self.effects.push(Effect::CloseClient { connection_id });
    }

    pub(super) fn client_disconnected(&mut self, now: UnixMs, connection_id: ConnectionId) {
        let Some(client) = self.clients.remove(&connection_id) else { return };
        let scan = client.scan;
        if let Some(at) = client.idle_timer_at {
            self.remove_timer(at, Timer::ClientIdle(connection_id));
        }
        self.effects.push(Effect::ReleaseClient { connection_id });
        if let Some(scan) = scan {
            self.counters.scans_gone += 1;
            self.count_for_type(scan, |counts| &mut counts.gone);
            if let Some(query) = self.scans.get(&scan) {
                let after_ms = now - query.received_at;
                debug!(
                    "query {}: client {connection_id} disconnected after {after_ms:.1} ms",
                    query.request_id
                );
            }
            self.remember_effective_request(scan);
            self.remove_scan(scan);
            self.events.push(Event::ClientGone { scan });
        }
    }

    pub(super) fn receive_request(
        &mut self,
        now: UnixMs,
        connection_id: ConnectionId,
        kind: RequestKind,
        close: bool,
    ) {
        let is_open = |c: &&mut Client| c.state != ClientState::Finished && c.scan.is_none();
        let Some(client) = self.clients.get_mut(&connection_id).filter(is_open) else { return };
        client.close_after_answer |= close;
        client.awaits_answer = true;
        client.unusable_requests += 1; // reset if the request turns out to be usable
        match kind {
            RequestKind::Scan(scan) => match self.check_scan(&scan) {
                Ok(ids) => self.receive_scan(now, connection_id, scan, &ids),
                Err(error) => self.reject_request(now, connection_id, &error),
            },
            RequestKind::Unusable(status, reason) => {
                self.reject_request(now, connection_id, &RequestError { status, reason })
            }
            page => self.answer_page(now, connection_id, &page),
        }
    }

    fn answer_page(&mut self, now: UnixMs, connection_id: ConnectionId, page: &RequestKind) {
        if let Some(client) = self.clients.get_mut(&connection_id) {
            client.unusable_requests = 0;
        }
        match page {
            RequestKind::Ready if matches!(self.phase, Phase::Ready) => {
                self.answer(now, connection_id, 200, None, b"ready\n")
            }
            RequestKind::Ready => self.answer(now, connection_id, 503, None, b"not ready\n"),
            RequestKind::Counters => {
                let text = self.counters().to_string();
                self.answer(now, connection_id, 200, None, text.as_bytes());
            }
            _ => self.answer(now, connection_id, 200, None, b"healthy\n"),
        }
    }

    /// Checks the names, shards and id that a scan gives.
    fn check_scan(&self, scan: &ScanRequest) -> Result<ScanIds, RequestError> {
        let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let table_type = index_of(&self.config.table_type_names, &scan.table_type).ok_or_else(|| {
            RequestError { status: 404, reason: format!("no table type {:?}", scan.table_type) }
        })?;
        let customer = match &scan.customer {
            _ if self.config.customers.is_empty() => 0,
            None => return Err(RequestError::bad_request("Req-Owner is missing".to_owned())),
            Some(name) => index_of(&self.config.customer_names, name)
                .ok_or_else(|| RequestError::bad_request(format!("no customer {name:?}")))?,
        };
        if let Some(part) = scan.parts.iter().find(|p| p.shard >= self.config.shard_count) {
            return Err(RequestError::bad_request(format!("no shard {}", part.shard)));
        }
        // A searcher's answer identifies its part by name alone, and that name is made from the request's id.
        // Two open requests with one id could not be told apart.
        if self.open_request_ids.contains(&scan.id) {
            let reason = format!("the request {} is still open", scan.id);
            return Err(RequestError { status: CONFLICT, reason });
        }
        if self.effective_requests.contains(&scan.id) {
            let reason =
                format!("the request {} came before, its client left, and it may have taken effect", scan.id);
            return Err(RequestError { status: CONFLICT, reason });
        }
        Ok(ScanIds { table_type, customer })
    }

    fn reject_request(&mut self, now: UnixMs, connection_id: ConnectionId, error: &RequestError) {
        let RequestError { status, reason } = error;
        self.counters.requests_unusable += 1;
        debug!("a request was answered {status}: {reason}");
        if let Some(client) = self.clients.get_mut(&connection_id) {
            client.close_after_answer |= client.unusable_requests >= MAX_UNUSABLE_REQUESTS;
        }
        self.answer(now, connection_id, *status, None, format!("{reason}\n").as_bytes());
    }

    /// Starts a scan, or rejects it at once if it can't be served now.
    fn receive_scan(&mut self, now: UnixMs, connection_id: ConnectionId, scan: ScanRequest, ids: &ScanIds) {
        self.counters.scans_taken += 1;
        self.counters.by_type[ids.table_type].taken += 1;
        if let Some(client) = self.clients.get_mut(&connection_id) {
            client.unusable_requests = 0;
        }
        let drain_serves_until = self.drain_serves_until(now);
        let is_refused = |client: &Client| rules::is_buffered_refused(client, drain_serves_until, now);
        if self.clients.get(&connection_id).is_some_and(is_refused) {
            self.counters.scans_refused_at_end += 1;
            return self.throttle_before_start(now, connection_id, ids, b"closing\n");
        }
        let open = self.scans.len() + self.parts.len();
        if !rules::may_take_query(open, scan.parts.len(), self.config.max_open) {
            self.counters.scans_turned_away += 1;
            return self.throttle_before_start(now, connection_id, ids, b"full\n");
        }
        self.start_scan(now, connection_id, scan, ids);
    }

    /// Answers a scan that the decision module is not told of.
    fn throttle_before_start(
        &mut self,
        now: UnixMs,
        connection_id: ConnectionId,
        ids: &ScanIds,
        reason: &[u8],
    ) {
        self.counters.scans_throttled += 1;
        self.counters.by_type[ids.table_type].throttled += 1;
        self.answer(now, connection_id, 503, self.config.permissions.retry_after_ms, reason);
    }

    fn start_scan(&mut self, now: UnixMs, connection_id: ConnectionId, scan: ScanRequest, ids: &ScanIds) {
        let &ScanIds { table_type, customer } = ids;
        let id = self.next_id();
        // The scans are numbered without gaps, unlike their ids.
        self.scan_number = self.scan_number.wrapping_add(1);
        let number = self.scan_number;
        let query_timeout_ms = self.config.table_types[table_type].query_timeout_ms;
        let answers_until = self.drain_answers_until();
        let deadline_at = rules::query_deadline(now, scan.wait_ms, query_timeout_ms, answers_until);
        // The work of a scan is known only if its client gives it for each part.
        let work_ms = scan.parts.iter().map(|part| part.work_ms).sum();
        let retry = scan.retry;
        self.events.push(Event::Scan { id, number, table_type, customer, deadline_at, work_ms, retry });
        let repeat_until = rules::repeat_until(now, self.config.table_types[table_type].idempotency);
        let mut parts = Vec::with_capacity(scan.parts.len());
        for part in &scan.parts {
            parts.push(self.start_part(id, number, &scan.id, part, repeat_until));
        }
        debug!(
            "query {} of client {connection_id}: table type {}, {} parts, {:.0} ms",
            scan.id,
            scan.table_type,
            parts.len(),
            deadline_at - now
        );
        self.open_request_ids.insert(scan.id.clone());
        let query = Scan {
            connection_id,
            request_id: scan.id,
            text: scan.text,
            table_type,
            deadline_at,
            received_at: now,
            parts,
        };
        self.scans.insert(id, query);
        self.add_timer(deadline_at, Timer::ScanDeadline(id));
        if let Some(client) = self.clients.get_mut(&connection_id) {
            client.scan = Some(id);
        }
    }

    /// Adds one part of a scan, and returns the part's id.
    fn start_part(
        &mut self,
        scan_id: ScanId,
        scan_number: u32,
        request_id: &str,
        part: &PartRequest,
        repeat_until: UnixMs,
    ) -> PartId {
        let id = self.next_id();
        self.events.push(Event::Part { id, number: scan_number, shard: part.shard, weight: part.weight });
        let added = Part {
            scan: scan_id,
            name: format!("{request_id}.{}", part.shard).into(),
            shard: part.shard,
            attempts: 0,
            may_have_run: 0,
            repeat_until,
            last_outcome: None,
            value: None,
        };
        self.parts.insert(id, added);
        id
    }

    /// Gives a scan its final answer.
    pub(super) fn answer_scan(
        &mut self,
        now: UnixMs,
        scan: ScanId,
        status: u16,
        retry_after_ms: Option<f64>,
        body: &[u8],
    ) {
        let Some(query) = self.scans.get(&scan) else { return };
        let connection_id = query.connection_id;
        let reason = String::from_utf8_lossy(if status == 200 { b"served" } else { body.trim_ascii_end() });
        let took_ms = now - query.received_at;
        debug!(
            "query {} of client {connection_id} is answered {status} after {took_ms:.1} ms: {reason}",
            query.request_id
        );
        self.remove_scan(scan);
        self.answer(now, connection_id, status, retry_after_ms, body);
    }

    /// Adds one to a count of the scan's table type.
    pub(super) fn count_for_type(&mut self, scan: ScanId, count: fn(&mut TableTypeCounters) -> &mut u64) {
        let table_type = self.scans.get(&scan).map(|s| s.table_type);
        if let Some(counts) = table_type.and_then(|table_type| self.counters.by_type.get_mut(table_type)) {
            *count(counts) += 1;
        }
    }

    /// Remembers the id of a scan whose client has left, if it must not be repeated and may have taken effect.
    fn remember_effective_request(&mut self, scan: ScanId) {
        let Some(scan) = self.scans.get(&scan) else { return };
        let may_have_run = |id: &PartId| self.parts.get(id).is_some_and(|part| part.may_have_run > 0);
        let is_replayable = self.config.table_types[scan.table_type].idempotency == Idempotency::Replayable;
        if !is_replayable && scan.parts.iter().any(may_have_run) {
            self.effective_requests.insert(&scan.request_id);
        }
    }

    /// Removes a scan and its parts. Its open attempts are not ended here.
    fn remove_scan(&mut self, scan_id: ScanId) {
        let Some(scan) = self.scans.remove(&scan_id) else { return };
        self.remove_timer(scan.deadline_at, Timer::ScanDeadline(scan_id));
        self.open_request_ids.remove(&scan.request_id);
        for id in scan.parts {
            self.parts.remove(&id);
        }
    }

    fn answer(
        &mut self,
        now: UnixMs,
        connection_id: ConnectionId,
        status: u16,
        retry_after_ms: Option<f64>,
        body: &[u8],
    ) {
        let drain_serves_until = self.drain_serves_until(now);
        let Some(client) = self.clients.get_mut(&connection_id) else { return };
        let was_awaited = std::mem::take(&mut client.awaits_answer);
        let last = rules::is_last_answer(client, drain_serves_until, now);
        client.buffered_refused += u32::from(rules::is_buffered_refused(client, drain_serves_until, now));
        client.has_buffered_data = false;
        client.scan = None;
        client.state_since = now;
        client.state = ClientState::Idle;
        let bytes = http::encode_answer(status, retry_after_ms, body, last);
        self.effects.push(Effect::Answer { connection_id, bytes, last });
        if last {
            client.state = ClientState::Finished;
            self.add_timer(now + rules::LINGER_MS, Timer::ClientLinger(connection_id));
        } else {
            self.set_idle_timer(now + IDLE_MS, connection_id);
        }
        // An incomplete request is answered although it awaits no answer yet.
        if !was_awaited && status != REQUEST_TIMEOUT {
            self.report_violation(Violation::Answer, &format!("client {connection_id}, status {status}"));
        }
    }

    /// Records that an answer is still being written. The client's time to close its connection begins once
    /// that is done.
    pub(super) fn answer_delayed(&mut self, connection_id: ConnectionId) {
        if let Some(client) = self.clients.get_mut(&connection_id) {
            client.answer_delayed = true;
        }
    }

    pub(super) fn answer_written(&mut self, now: UnixMs, connection_id: ConnectionId) {
        let Some(client) = self.clients.get_mut(&connection_id) else { return };
        client.answer_delayed = false;
        client.state_since = now;
        if client.state == ClientState::Finished {
            self.add_timer(now + rules::LINGER_MS, Timer::ClientLinger(connection_id));
        }
    }

    pub(super) fn data_after_last_answer(&mut self, connection_id: ConnectionId) {
        if let Some(client) = self.clients.get_mut(&connection_id) {
            client.still_sends = true;
        }
    }

    /// Closes the connection of a client that has had its last answer and its time to close. While draining,
    /// a client that still sends may stay until it closes, or until the end.
    pub(super) fn close_finished_client(&mut self, now: UnixMs, connection_id: ConnectionId) {
        self.close_client(now, connection_id, ClientCloseReason::LastAnswerGiven);
    }
}
