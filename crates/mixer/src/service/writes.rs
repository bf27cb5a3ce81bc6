//! Writes to searchers. Encoding a frame, checking it and starting its write follow each other directly, and no
//! write blocks.

use super::Service;
use crate::client_handle::ClientHandle;
use crate::inputs::{ConnectionId, Input, LinkId, TimedInput};
use crate::link::WriteOutcome;
use crate::outbox::{self, WriteSlice};

/// The result of [`Service::next_frame`].
enum NextFrame {
    Frame(Vec<u8>),
    Nothing,
    /// The process was paused while the frame was encoded. The frame is queued again.
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
                NextFrame::Nothing => return false,
                NextFrame::Stale => return true,
                NextFrame::Frame(frame) => match self.links.get_mut(&link_id) {
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
            let input = Input::LinkBlocked { link: link_id, made_progress };
            self.own_inputs.push(TimedInput { at: self.clock.now(), input });
        }
        outcome == WriteOutcome::Complete
    }

    /// The next frame of a link. Its write has to begin at once: nothing may come between the last check of its
    /// clients and the write, not even reading the clock.
    fn next_frame(&mut self, link_id: LinkId) -> NextFrame {
        let mut disconnected = Vec::new();
        loop {
            let now = self.clock.now();
            let Some(frame) = self.reducer.next_frame(now, link_id, &disconnected) else {
                return NextFrame::Nothing;
            };
            if !outbox::may_begin(now, self.clock.now()) {
                self.reducer.return_frame(link_id);
                return NextFrame::Stale;
            }
            let clients = &self.clients;
            let is_disconnected = |connection_id: &ConnectionId| {
                clients.get(connection_id).is_none_or(ClientHandle::has_disconnected)
            };
            let newly_disconnected: Vec<ConnectionId> =
                frame.clients.iter().copied().filter(is_disconnected).collect();
            if newly_disconnected.is_empty() {
                return NextFrame::Frame(frame.bytes);
            }
            self.reducer.return_frame(link_id);
            disconnected.extend(newly_disconnected);
        }
    }
}
