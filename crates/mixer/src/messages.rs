//! Messages from the threads to the service, and the sending end of their channel.

use std::io;
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

use crossbeam_channel::{Sender, bounded};
use pewterwharf_settings::Settings;

use crate::clock::Clock;
use crate::inputs::Input;
use crate::line::Line;
use crate::link;

/// Stack of the threads of which there is one each.
pub(crate) const STACK: usize = 256 * 1024;

/// A message of a thread to the service.
pub(crate) enum Message {
    /// A client's connection.
    Client(f64, u64, Line),
    /// A link that is up.
    Link(f64, u64, Arc<link::Shared>),
    Input(f64, Input),
    /// No route leads here any more.
    RoutesLeft,
    /// Somebody asks at the console what the module believes.
    Beliefs(Sender<String>),
    /// The operator's own file was read anew; why it can't be used.
    Settings(Result<Box<Settings>, String>),
}

/// Sends messages to the service, stamped by the clock that all go by.
#[derive(Clone)]
pub struct MessageSender {
    pub(crate) to: Sender<Message>,
    pub(crate) clock: Clock,
}

impl MessageSender {
    /// Sends an input that has happened now; false once nobody receives.
    pub fn send(&self, input: Input) -> bool {
        self.to.send(Message::Input(self.clock.now(), input)).is_ok()
    }

    /// The time by the service's clock.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn link(&self, link: u64, shared: Arc<link::Shared>) {
        let _ = self.to.send(Message::Link(self.clock.now(), link, shared)); // or the program has ended
    }

    /// What the module believes; nothing, if the service does not answer in time.
    pub fn beliefs(&self) -> Option<String> {
        const PATIENCE: Duration = Duration::from_secs(2);
        let (to, told) = bounded(1);
        self.to.send_timeout(Message::Beliefs(to), PATIENCE).ok()?;
        told.recv_timeout(PATIENCE).ok()
    }

    pub fn may_stop(&self) {
        let _ = self.to.send(Message::RoutesLeft); // or the program has ended
    }

    pub fn client(&self, conn: u64, line: Line) {
        let _ = self.to.send(Message::Client(self.clock.now(), conn, line)); // or the program has ended
    }
}

/// A thread with a small stack.
pub fn spawn(name: &str, stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    Builder::new().name(name.to_owned()).stack_size(stack).spawn(run).map(drop)
}
