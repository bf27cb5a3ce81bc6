//! Who holds what, as the log has it.

use std::collections::BTreeMap;

use pewterwharf_council::Machine;
use serde::{Deserialize, Serialize};

/// Duties and names that are kept in mind at most, and how many grants of each duty.
const DUTIES: usize = 256;
const HISTORY: usize = 8;
/// Losses in a row after which no more are counted.
const LOSSES: u32 = 16;

/// What is put into the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    /// To a mixer, by whoever leads: void where the duty's epoch or its renewals are others by then.
    Grant { duty: String, to: String, length_ms: u64, epoch: u64, renewals: u64 },
    /// By the holder, which acts on until the lease that this began has ended. `ask` tells its own requests apart.
    Renew { duty: String, by: String, epoch: u64, ask: u64 },
    /// By the holder, which has stopped before: to somebody, or to whoever is chosen.
    Release { duty: String, by: String, epoch: u64, to: Option<String> },
}

/// A grant that was.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    pub holder: String,
    pub epoch: u64,
    /// Whether it was released; else it was lost by silence.
    pub released: bool,
}

/// A duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// Of the last grant; the next is one more. Effects carry it.
    pub epoch: u64,
    pub holder: Option<String>,
    pub length_ms: u64,
    /// Renewals since the grant, itself among them.
    pub renewals: u64,
    /// The holder's request that was carried out last.
    pub ask: u64,
    /// For whom it was released.
    pub reserved: Option<String>,
    /// The last ones that held it, the latest last.
    pub history: Vec<Held>,
    /// How often in a row each has lost it by silence.
    pub losses: BTreeMap<String, u32>,
}

/// All duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duties {
    pub all: BTreeMap<String, Duty>,
}

impl Duty {
    fn ends(&mut self, released: bool) {
        let Some(holder) = self.holder.take() else { return };
        if released {
            self.losses.remove(&holder);
        } else {
            let losses = self.losses.entry(holder.clone()).or_default();
            *losses = (*losses + 1).min(LOSSES);
        }
        self.history.push(Held { holder, epoch: self.epoch, released });
        if self.history.len() > HISTORY {
            self.history.remove(0);
        }
    }
}

impl Duties {
    /// Duties that a mixer holds, as far as the log says.
    pub fn of(&self, name: &str) -> usize {
        self.all.values().filter(|duty| duty.holder.as_deref() == Some(name)).count()
    }
}

impl Machine for Duties {
    type Order = Order;

    fn carry_out(&mut self, order: &Order) {
        match order {
            Order::Grant { duty, to, length_ms, epoch, renewals } => {
                if !self.all.contains_key(duty) && self.all.len() >= DUTIES {
                    return;
                }
                let one = self.all.entry(duty.clone()).or_default();
                // Guards against a renewal that its grantor did not know of.
                if *epoch != one.epoch + 1 || *renewals != one.renewals {
                    return;
                }
                one.ends(false);
                (one.epoch, one.holder, one.length_ms) = (*epoch, Some(to.clone()), *length_ms);
                (one.renewals, one.ask, one.reserved) = (1, 0, None);
            }
            Order::Renew { duty, by, epoch, ask } => {
                let held = |one: &&mut Duty| one.epoch == *epoch && one.holder.as_ref() == Some(by);
                if let Some(one) = self.all.get_mut(duty).filter(held) {
                    one.renewals += 1;
                    one.ask = *ask;
                    one.losses.remove(by);
                }
            }
            Order::Release { duty, by, epoch, to } => {
                let held = |one: &&mut Duty| one.epoch == *epoch && one.holder.as_ref() == Some(by);
                if let Some(one) = self.all.get_mut(duty).filter(held) {
                    one.ends(true);
                    one.renewals += 1;
                    one.reserved.clone_from(to);
                }
            }
        }
    }
}
