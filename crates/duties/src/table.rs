//! Who holds which duty, according to the log.

use std::collections::BTreeMap;

use pewterwharf_council::StateMachine;
use serde::{Deserialize, Serialize};

const MAX_DUTIES: usize = 256;
/// Maximum number of past holders kept for each duty.
const MAX_HISTORY: usize = 8;
/// Maximum of the count of consecutive losses.
const MAX_LOSSES: u32 = 16;

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// From the leader: grants a duty to a mixer. Void if the duty's epoch or number of renewals has changed
    /// before it is applied.
    Grant { duty: String, to: String, length_ms: u64, epoch: u64, renewals: u64 },
    /// From the holder: extends its lease. `request` identifies the renewal among those of the holder.
    Renew { duty: String, by: String, epoch: u64, request: u64 },
    /// From the holder, after it has stopped acting: releases a duty to a given mixer, or to one that the
    /// assigner chooses.
    Release { duty: String, by: String, epoch: u64, to: Option<String> },
}

/// A lease that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PastHolder {
    pub holder: String,
    pub epoch: u64,
    /// Whether the duty was released; otherwise the lease expired.
    pub released: bool,
}

/// The state of one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// Epoch of the last grant; each grant increments it. Effects carry it.
    pub epoch: u64,
    pub holder: Option<String>,
    pub length_ms: u64,
    /// Number of renewals since the grant, counting the grant itself.
    pub renewals: u64,
    /// The holder's latest renewal request that was applied.
    pub request: u64,
    /// The mixer that the duty was released to.
    pub reserved: Option<String>,
    /// The last holders, the latest at the end.
    pub history: Vec<PastHolder>,
    /// How often in a row each mixer's lease has expired.
    pub losses: BTreeMap<String, u32>,
}

/// The state of all duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyTable {
    pub duties: BTreeMap<String, Duty>,
}

impl Duty {
    fn is_held_by(&self, name: &str, epoch: u64) -> bool {
        self.epoch == epoch && self.holder.as_deref() == Some(name)
    }

    fn end_lease(&mut self, released: bool) {
        let Some(holder) = self.holder.take() else { return };
        if released {
            self.losses.remove(&holder);
        } else {
            let losses = self.losses.entry(holder.clone()).or_default();
            *losses = (*losses + 1).min(MAX_LOSSES);
        }
        self.history.push(PastHolder { holder, epoch: self.epoch, released });
        if self.history.len() > MAX_HISTORY {
            self.history.remove(0);
        }
    }
}

impl DutyTable {
    /// Number of duties that a mixer holds, according to the log.
    pub fn held_by(&self, name: &str) -> usize {
        self.duties.values().filter(|duty| duty.holder.as_deref() == Some(name)).count()
    }

    fn grant(&mut self, name: &str, to: &str, length_ms: u64, epoch: u64, renewals: u64) {
        if !self.duties.contains_key(name) && self.duties.len() >= MAX_DUTIES {
            return;
        }
        let duty = self.duties.entry(name.to_owned()).or_default();
        // The assigner had not observed the latest epoch or renewal.
        if epoch != duty.epoch + 1 || renewals != duty.renewals {
            return;
        }
        duty.end_lease(false);
        duty.epoch = epoch;
        duty.holder = Some(to.to_owned());
        duty.length_ms = length_ms;
        duty.renewals = 1;
        duty.request = 0;
        duty.reserved = None;
    }

    fn held_duty(&mut self, name: &str, by: &str, epoch: u64) -> Option<&mut Duty> {
        self.duties.get_mut(name).filter(|duty| duty.is_held_by(by, epoch))
    }
}

impl StateMachine for DutyTable {
    type Command = LeaseCommand;

    fn apply(&mut self, command: &LeaseCommand) {
        match command {
            LeaseCommand::Grant { duty, to, length_ms, epoch, renewals } => {
                self.grant(duty, to, *length_ms, *epoch, *renewals);
            }
            LeaseCommand::Renew { duty, by, epoch, request } => {
                if let Some(duty) = self.held_duty(duty, by, *epoch) {
                    duty.renewals += 1;
                    duty.request = *request;
                    duty.losses.remove(by);
                }
            }
            LeaseCommand::Release { duty, by, epoch, to } => {
                if let Some(duty) = self.held_duty(duty, by, *epoch) {
                    duty.end_lease(true);
                    duty.renewals += 1;
                    duty.reserved.clone_from(to);
                }
            }
        }
    }
}
