//! Writes to searchers. A frame is produced, checked and begun in one go, and no write waits.

use super::Service;
use crate::client_handle::ClientHandle;
use crate::inputs::{ConnectionId, Input, LinkId};
use crate::link::WriteOutcome;
use crate::outbox::{self, WriteSlice};

/// What is to be written next on a link.
enum Next {
    Frame(Vec<u8>),
    Nothing,
    /// The process was held up while the frame was produced. The frame is queued again.
    Stale,
}

impl Service {
    /// Writes what is queued for links, for as long as the inputs received last are recent enough.
    pub(super) fn write_queued(&mut self) {
        let slice = WriteSlice::new(self.clock.now());
        while let Some(link) = self.outbox.first() {
            let now = self.clock.now();
            if self.pauses.check(now, 0.0) {
                self.was_paused = true;
                return;
            }
            if slice.is_over(now) {
                return;
            }
            if !self.write_next(link) {
                self.outbox.remove_first();
            }
        }
    }

    /// Writes the next frame of a link, or the rest of a partly written one; false if nothing more can be
    /// written on it for now.
    pub(super) fn write_next(&mut self, link_id: LinkId) -> bool {
        let Some(link) = self.links.get_mut(&link_id).filter(|link| !link.is_blocked()) else { return false };
        let outcome = if link.has_partial_frame() {
            link.write_rest()
        } else {
            match self.next_frame(link_id) {
                Next::Nothing => return false,
                Next::Stale => return true,
                Next::Frame(frame) => match self.links.get_mut(&link_id) {
                    Some(link) => link.write(frame, &self.partial_frames),
                    None => return false,
                },
            }
        };
        if outcome == WriteOutcome::NotBegun {
            self.reducer.return_frame(link_id);
        }
        if matches!(outcome, WriteOutcome::Partial | WriteOutcome::Stalled | WriteOutcome::NotBegun) {
            let made_progress = outcome == WriteOutcome::Partial;
            self.own_inputs.push((self.clock.now(), Input::LinkBlocked { link: link_id, made_progress }));
        }
        outcome == WriteOutcome::Complete
    }

    /// The next frame of a link. Its write has to begin at once: nothing may come between the last look at
    /// its clients and the write, not even a look at the clock.
    fn next_frame(&mut self, link_id: LinkId) -> Next {
        let mut disconnected = Vec::new();
        loop {
            let now = self.clock.now();
            let Some(frame) = self.reducer.next_frame(now, link_id, &disconnected) else {
                return Next::Nothing;
            };
            if !outbox::may_begin(now, self.clock.now()) {
                self.reducer.return_frame(link_id);
                return Next::Stale;
            }
            let clients = &self.clients;
            let has_left = |connection_id: &ConnectionId| {
                clients.get(connection_id).is_none_or(ClientHandle::has_disconnected)
            };
            let newly_disconnected: Vec<ConnectionId> =
                frame.clients.iter().copied().filter(has_left).collect();
            if newly_disconnected.is_empty() {
                return Next::Frame(frame.bytes);
            }
            self.reducer.return_frame(link_id);
            disconnected.extend(newly_disconnected);
        }
    }
}
