//! The service's writes to searchers: what is sent is worked out, checked and begun in one go, and nobody is waited for.

use super::Service;
use crate::inputs::Input;
use crate::line::Line;
use crate::link::Written;
use crate::outbox::{self, Slice};

/// What is to be written next on a link.
enum Next {
    Frame(Vec<u8>),
    Nothing,
    /// The process was held up while a frame was worked out, which waits on.
    Stale,
}

impl Service {
    /// Writes what waits for links, as long as what was heard last still counts.
    pub(super) fn write_waiting(&mut self) {
        let slice = Slice::new(self.clock.now());
        while let Some(link) = self.outbox.first() {
            let now = self.clock.now();
            if self.pauses.check(now, 0.0) {
                self.stood_still = true;
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

    /// Writes the next frame of a link, or the rest of one; false if nothing more can be written on it for now.
    pub(super) fn write_next(&mut self, id: u64) -> bool {
        let Some(link) = self.links.get_mut(&id).filter(|link| !link.awaits_room()) else { return false };
        let written = if link.has_rest() {
            link.write_rest()
        } else {
            match self.next_frame(id) {
                Next::Nothing => return false,
                Next::Stale => return true,
                Next::Frame(frame) => match self.links.get_mut(&id) {
                    Some(link) => link.write(frame, &self.rests),
                    None => return false,
                },
            }
        };
        if written == Written::NotBegun {
            self.reducer.return_frame(id);
        }
        if matches!(written, Written::Partly | Written::Stalled | Written::NotBegun) {
            let made_progress = written == Written::Partly;
            self.met.push((self.clock.now(), Input::LinkBlocked { link: id, made_progress }));
        }
        written == Written::Whole
    }

    /// The next frame of a link. It has to begin at once: between the last look at its clients and the write nothing may stand, not
    /// even a look at the clock.
    fn next_frame(&mut self, id: u64) -> Next {
        let mut left = Vec::new();
        loop {
            let now = self.clock.now();
            let Some(frame) = self.reducer.next_frame(now, id, &left) else { return Next::Nothing };
            if !outbox::may_begin(now, self.clock.now()) {
                self.reducer.return_frame(id);
                return Next::Stale;
            }
            let clients = &self.clients;
            let has_left = |conn: &u64| clients.get(conn).is_none_or(Line::has_left);
            let gone: Vec<u64> = frame.clients.iter().copied().filter(has_left).collect();
            if gone.is_empty() {
                return Next::Frame(frame.bytes);
            }
            self.reducer.return_frame(id);
            left.extend(gone);
        }
    }
}
