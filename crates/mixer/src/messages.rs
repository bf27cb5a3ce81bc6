//! Messages from the other threads to the service, and the sending end of their channel.

use std::io;
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use pewterwharf_settings::Settings;

use crate::client_handle::ClientHandle;
use crate::clock::{Clock, UnixMs};
use crate::inputs::{ConnectionId, Input, LinkId};
use crate::link::SharedLink;

/// Stack size of the threads. There is one thread of each kind.
pub(crate) const STACK_BYTES: usize = 256 * 1024;

/// A message of a thread to the service.
pub(crate) enum Message {
    ClientConnected {
        at: UnixMs,
        connection_id: ConnectionId,
        handle: ClientHandle,
    },
    LinkUp {
        at: UnixMs,
        link: LinkId,
        shared: Arc<SharedLink>,
    },
    Input {
        at: UnixMs,
        input: Input,
    },
    /// No route leads to this mixer any more.
    RoutesWithdrawn,
    /// The console requests the status of the decision module.
    StatusRequested(Sender<String>),
    /// The operator's own file was read again, or the reason why it is unusable.
    SettingsReloaded(Result<Box<Settings>, String>),
}

/// Sends messages to the service, with the time by the clock that all threads share.
#[derive(Clone)]
pub struct MessageSender {
    pub(crate) sender: Sender<Message>,
    pub(crate) clock: Clock,
}

impl MessageSender {
    /// Sends an input that has happened now; false once the service has ended.
    pub fn send(&self, input: Input) -> bool {
        self.send_at(self.clock.now(), input)
    }

    /// Sends an input that happened at this time, by [`Self::now`]; false once the service has ended.
    pub fn send_at(&self, at: UnixMs, input: Input) -> bool {
        self.sender.send(Message::Input { at, input }).is_ok()
    }

    /// The time by the service's clock.
    pub fn now(&self) -> UnixMs {
        self.clock.now()
    }

    pub fn send_link_up(&self, link: LinkId, shared: Arc<SharedLink>) {
        let at = self.clock.now();
        let _ = self.sender.send(Message::LinkUp { at, link, shared }); // fails once the service has ended
    }

    /// Requests the status of the decision module; `None` if the service does not answer in time.
    pub fn request_status(&self) -> Option<String> {
        const TIMEOUT: Duration = Duration::from_secs(2);
        let (sender, answer) = bounded(1);
        self.sender.send_timeout(Message::StatusRequested(sender), TIMEOUT).ok()?;
        answer.recv_timeout(TIMEOUT).ok()
    }

    pub fn send_routes_withdrawn(&self) {
        let _ = self.sender.send(Message::RoutesWithdrawn); // fails once the service has ended
    }

    pub fn send_client_connected(&self, connection_id: ConnectionId, handle: ClientHandle) {
        let at = self.clock.now();
        // Fails once the service has ended.
        let _ = self.sender.send(Message::ClientConnected { at, connection_id, handle });
    }
}

/// Starts a thread with a small stack.
pub fn spawn(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    Builder::new().name(name.to_owned()).stack_size(stack_bytes).spawn(run).map(drop)
}
