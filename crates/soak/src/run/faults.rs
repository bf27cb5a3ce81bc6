//! Fault injection of a run. A fault begins when it is due and schedules the actions that undo it.

use anyhow::Result;
use rustix::process::Signal;

use super::{Action, GENERATIONS, KILL_GRACE_MS, Run, unix_ms};
use crate::clock::{TimeMs, now_ms};
use crate::control::{
    AgentCommand, ClientsCommand, ProxyCommand, ProxyMode, SearcherBehavior, SearcherCommand,
};
use crate::fault::Fault;
use crate::process::send_signal;
use crate::record::{Event, Status};
use crate::settings::LONGEST_TIMEOUT_MS;

/// Delay from the removal of a searcher from the list to the start of its replacement.
const REPLACEMENT_DELAY_MS: u64 = 600;
/// The time between two SIGHUPs of a reload.
const HANGUP_INTERVAL_MS: u64 = 20;

impl Run<'_> {
    pub(super) fn perform(&mut self, action: Action) -> Result<()> {
        match action {
            Action::BeginFault(fault) => self.begin_fault(fault)?,
            Action::TakeOutOfRotation(mixer) => {
                self.mixers[mixer].clients.send(&ClientsCommand::SetInRotation(false))
            }
            Action::StartMixer(mixer) if self.mixers[mixer].process.is_some() => {}
            Action::StartMixer(mixer) => self.start_mixer(mixer)?,
            Action::StartSuccessor(mixer) => self.start_successor(mixer)?,
            Action::ResumeMixer(mixer) => self.resume_mixer(mixer),
            Action::Stutter { mixer, left, ms, apart_ms } => self.stutter(mixer, left, ms, apart_ms),
            Action::ResumeSearcher(searcher) => {
                if let Some(process) = &self.searchers[searcher].process {
                    send_signal(&process.child, Signal::CONT);
                }
            }
            Action::StartSearcher(number) => {
                self.start_searcher(number)?;
                self.searchers[number].since_ms = unix_ms();
                self.send_listing(number);
            }
            Action::RestoreSearcher(searcher) => {
                self.set_searcher_behavior(searcher, SearcherBehavior::Answers);
            }
            Action::RemoveSearcher(number) => {
                self.searchers[number].status = Status::Removed;
                self.send_listing(number);
                self.schedule_after(REPLACEMENT_DELAY_MS, Action::ReplaceSearcher(number));
            }
            Action::ReplaceSearcher(number) => {
                let searcher = &mut self.searchers[number];
                searcher.process = None;
                searcher.generation += 1;
                searcher.status = Status::Up;
                searcher.since_ms = unix_ms();
                self.start_searcher(number)?;
                self.send_listing(number);
            }
            Action::RestoreProxy(proxy) => self.proxies[proxy].send(&ProxyCommand::SetMode(ProxyMode::Whole)),
            Action::SendHangup { mixer, left } => self.send_hangup(mixer, left),
        }
        Ok(())
    }

    /// Pauses a mixer for `ms`, and schedules the next of the `left` pauses of a series.
    fn stutter(&mut self, mixer: usize, left: u32, ms: u64, apart_ms: u64) {
        self.signal_mixer(mixer, Signal::STOP, "STOP");
        self.schedule_after(ms, Action::ResumeMixer(mixer));
        if left > 1 {
            self.schedule_after(ms + apart_ms, Action::Stutter { mixer, left: left - 1, ms, apart_ms });
        }
    }

    /// Sends the first of the `left` SIGHUPs of a reload, and schedules the next.
    fn send_hangup(&mut self, mixer: usize, left: u32) {
        self.signal_mixer(mixer, Signal::HUP, "HUP");
        if left > 1 {
            self.schedule_after(HANGUP_INTERVAL_MS, Action::SendHangup { mixer, left: left - 1 });
        }
    }

    /// Sends the list entry of a searcher to the agents.
    fn send_listing(&mut self, number: usize) {
        let listed = self.searchers[number].listed();
        self.update_agents(&[listed]);
    }

    fn set_searcher_behavior(&mut self, number: usize, behavior: SearcherBehavior) {
        if let Some(process) = &mut self.searchers[number].process {
            process.send(&SearcherCommand::SetBehavior(behavior));
        }
    }

    /// Records a fault and begins it. Faults that can't begin in the current state are skipped.
    fn begin_fault(&mut self, fault: Fault) -> Result<()> {
        let now = now_ms();
        let until = |ms: u64| now + ms as f64;
        match fault {
            Fault::MixerEnds { mixer, front_ms } => {
                if self.begin_mixer_end(fault, mixer, now) {
                    self.schedule_after(front_ms, Action::TakeOutOfRotation(mixer));
                }
            }
            Fault::MixerHandsOver { mixer, after_ms } => {
                if self.begin_mixer_end(fault, mixer, now) {
                    self.schedule_after(after_ms, Action::StartSuccessor(mixer));
                }
            }
            Fault::MixerKilled { mixer } => self.kill_mixer(fault, mixer, now),
            Fault::MixerPaused { mixer, ms } => {
                self.record_fault(fault, now, until(ms));
                self.signal_mixer(mixer, Signal::STOP, "STOP");
                self.schedule_after(ms, Action::ResumeMixer(mixer));
            }
            Fault::MixerStutters { mixer, count, ms, apart_ms } => {
                // Two overlapping series could keep the mixer stopped all the time.
                if now < self.mixers[mixer].stutters_until {
                    return Ok(());
                }
                let stutters_until = until(u64::from(count) * (ms + apart_ms));
                self.mixers[mixer].stutters_until = stutters_until;
                self.record_fault(fault, now, stutters_until);
                self.stutter(mixer, count, ms, apart_ms);
            }
            Fault::MixerReloads { mixer, signals } => {
                self.record_fault(fault, now, now);
                self.mixers[mixer].discovery_index = 1 - self.mixers[mixer].discovery_index;
                self.write_config(mixer)?;
                self.mixers[mixer].agent.send(&AgentCommand::Move);
                self.send_hangup(mixer, signals);
            }
            Fault::MixerReports { mixer } => {
                self.record_fault(fault, now, now);
                self.signal_mixer(mixer, Signal::USR1, "USR1");
            }
            Fault::LogReaderGone { mixer } => {
                self.record_fault(fault, now, TimeMs::MAX);
                self.mixers[mixer].process.iter().for_each(|process| process.log.close());
            }
            Fault::LogReaderStalls { mixer, ms } => {
                self.record_fault(fault, now, until(ms));
                self.mixers[mixer].process.iter().for_each(|process| process.log.stall(ms));
            }
            Fault::SearcherPaused { searcher, ms } => {
                self.record_fault(fault, now, until(ms));
                if let Some(process) = &self.searchers[searcher].process {
                    send_signal(&process.child, Signal::STOP);
                }
                self.schedule_after(ms, Action::ResumeSearcher(searcher));
            }
            Fault::SearcherRestarts { searcher, ms } => {
                if !self.searchers[searcher].is_up() {
                    return Ok(());
                }
                self.record_fault(fault, now, until(ms));
                self.searchers[searcher].process = None;
                self.schedule_after(ms, Action::StartSearcher(searcher));
            }
            Fault::SearcherDoes { searcher, manner, ms } => {
                self.record_fault(fault, now, until(ms));
                self.set_searcher_behavior(searcher, manner);
                self.schedule_after(ms, Action::RestoreSearcher(searcher));
            }
            Fault::SearcherReplaced { searcher, drains_ms } => {
                self.begin_replacement(fault, searcher, now, drains_ms);
            }
            Fault::ProxyPasses { proxy, passing, ms } => {
                self.record_fault(fault, now, until(ms));
                self.proxies[proxy].send(&ProxyCommand::SetMode(passing));
                self.schedule_after(ms, Action::RestoreProxy(proxy));
            }
            Fault::AgentSilent { mixer, ms } => {
                self.record_fault(fault, now, until(ms));
                self.mixers[mixer].agent.send(&AgentCommand::Silent(ms));
            }
            Fault::AgentDown { mixer, ms } => {
                self.record_fault(fault, now, until(ms));
                self.mixers[mixer].agent.send(&AgentCommand::Down(ms));
            }
            Fault::AgentResets { mixer } => {
                self.record_fault(fault, now, now);
                self.mixers[mixer].agent.send(&AgentCommand::Reset);
            }
            Fault::AgentSlow { mixer, ms } => {
                self.record_fault(fault, now, until(ms));
                self.mixers[mixer].agent.send(&AgentCommand::Slow(ms));
            }
            Fault::ClientsLeave { mixer } => {
                self.record_fault(fault, now, now);
                self.mixers[mixer].clients.send(&ClientsCommand::LeaveAll);
            }
            Fault::ClientsBurst { mixer, count } => {
                self.record_fault(fault, now, now);
                self.mixers[mixer].clients.send(&ClientsCommand::Burst(count));
            }
            Fault::ClientsCrowd { mixer, count, ms } => {
                self.record_fault(fault, now, until(ms));
                self.mixers[mixer].clients.send(&ClientsCommand::Crowd(count, ms));
            }
        }
        Ok(())
    }

    fn kill_mixer(&mut self, fault: Fault, mixer: usize, now: TimeMs) {
        if !self.may_end(mixer) {
            return;
        }
        self.record_fault(fault, now, now);
        self.signal_mixer(mixer, Signal::KILL, "KILL");
        self.mixers[mixer].kill_at = Some(TimeMs::INFINITY);
    }

    /// Lists a searcher as draining, to be removed and replaced afterwards. A searcher that is not up or has had its last
    /// generation is skipped.
    fn begin_replacement(&mut self, fault: Fault, number: usize, now: TimeMs, drains_ms: u64) {
        let searcher = &mut self.searchers[number];
        if !searcher.is_up() || searcher.generation + 1 >= GENERATIONS {
            return;
        }
        searcher.status = Status::Draining;
        self.record_fault(fault, now, now + drains_ms as f64);
        self.send_listing(number);
        self.schedule_after(drains_ms, Action::RemoveSearcher(number));
    }

    fn record_fault(&self, fault: Fault, at: TimeMs, until: TimeMs) {
        self.recorder.record(&Event::Fault { at, until, description: format!("{fault:?}") });
    }

    /// Sends SIGTERM to a mixer, unless it may not end now; returns whether it was sent.
    fn begin_mixer_end(&mut self, fault: Fault, mixer: usize, now: TimeMs) -> bool {
        if !self.may_end(mixer) {
            return false;
        }
        self.record_fault(fault, now, now);
        self.signal_mixer(mixer, Signal::TERM, "TERM");
        self.mixers[mixer].kill_at = Some(now + LONGEST_TIMEOUT_MS + KILL_GRACE_MS);
        true
    }
}
