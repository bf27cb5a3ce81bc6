//! A run's part for faults: each begun when it is due, and undone later.

use anyhow::Result;
use rustix::process::Signal;

use super::{Due, GENERATIONS, KILLED_AFTER_MS, Run, unix_ms};
use crate::clock::now_ms;
use crate::control::{AgentOrder, ClientsOrder, Manner, Passing, ProxyOrder, SearcherOrder};
use crate::fleet::signal;
use crate::record::{Event, Status};
use crate::settings::LONGEST_MS;
use crate::trouble::Trouble;

impl Run<'_> {
    pub(super) fn carry_out(&mut self, due: Due) -> Result<()> {
        match due {
            Due::Begin(trouble) => self.begin(trouble)?,
            Due::FrontOff(mixer) => self.mixers[mixer].clients.tell(&ClientsOrder::Front(false)),
            Due::StartMixer(mixer) if self.mixers[mixer].process.is_some() => {}
            Due::StartMixer(mixer) => self.start_mixer(mixer)?,
            Due::TakeOver(mixer) => self.take_over(mixer)?,
            Due::Resume(mixer) => self.resume_mixer(mixer),
            Due::Stutter { mixer, left, ms, apart_ms } => {
                self.signal_mixer(mixer, Signal::STOP, "STOP");
                self.later(ms, Due::Resume(mixer));
                if left > 1 {
                    self.later(ms + apart_ms, Due::Stutter { mixer, left: left - 1, ms, apart_ms });
                }
            }
            Due::ResumeSearcher(searcher) => {
                if let Some(process) = &self.searchers[searcher].process {
                    signal(&process.child, Signal::CONT);
                }
            }
            Due::StartSearcher(number) => {
                self.start_searcher(number)?;
                self.searchers[number].since_ms = unix_ms();
                let listed = self.searchers[number].listed();
                self.tell_agents(&[listed]);
            }
            Due::Behave(searcher) => self.searcher_does(searcher, Manner::Answers),
            Due::RemoveSearcher(number) => {
                self.searchers[number].status = Status::Removed;
                let listed = self.searchers[number].listed();
                self.tell_agents(&[listed]);
                self.later(600, Due::ReplaceSearcher(number));
            }
            Due::ReplaceSearcher(number) => {
                let searcher = &mut self.searchers[number];
                searcher.process = None;
                searcher.generation += 1;
                (searcher.status, searcher.since_ms) = (Status::Up, unix_ms());
                self.start_searcher(number)?;
                let listed = self.searchers[number].listed();
                self.tell_agents(&[listed]);
            }
            Due::PassWhole(proxy) => self.proxies[proxy].tell(&ProxyOrder::Passing(Passing::Whole)),
            Due::Hangup { mixer, left } => {
                self.signal_mixer(mixer, Signal::HUP, "HUP");
                if left > 1 {
                    self.later(20, Due::Hangup { mixer, left: left - 1 });
                }
            }
        }
        Ok(())
    }

    fn searcher_does(&mut self, number: usize, manner: Manner) {
        if let Some(process) = &mut self.searchers[number].process {
            process.tell(&SearcherOrder::Manner(manner));
        }
    }

    fn begin(&mut self, trouble: Trouble) -> Result<()> {
        let now = now_ms();
        let lasts = |ms: u64| now + ms as f64;
        let note = |until: f64| Event::Trouble { at: now, until, what: format!("{trouble:?}") };
        match trouble {
            Trouble::MixerEnds { mixer, front_ms } => {
                if !self.may_end(mixer) {
                    return Ok(());
                }
                self.recorder.record(&note(now));
                self.signal_mixer(mixer, Signal::TERM, "TERM");
                self.mixers[mixer].ends_by = Some(now + LONGEST_MS + KILLED_AFTER_MS);
                self.later(front_ms, Due::FrontOff(mixer));
            }
            Trouble::MixerHandsOver { mixer, after_ms } => {
                if !self.may_end(mixer) {
                    return Ok(());
                }
                self.recorder.record(&note(now));
                self.signal_mixer(mixer, Signal::TERM, "TERM");
                self.mixers[mixer].ends_by = Some(now + LONGEST_MS + KILLED_AFTER_MS);
                self.later(after_ms, Due::TakeOver(mixer));
            }
            Trouble::MixerKilled { mixer } => {
                if !self.may_end(mixer) {
                    return Ok(());
                }
                self.recorder.record(&note(now));
                self.signal_mixer(mixer, Signal::KILL, "KILL");
                self.mixers[mixer].ends_by = Some(f64::INFINITY);
            }
            Trouble::MixerPaused { mixer, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.signal_mixer(mixer, Signal::STOP, "STOP");
                self.later(ms, Due::Resume(mixer));
            }
            Trouble::MixerStutters { mixer, count, ms, apart_ms } => {
                // Two series at once would let it go on for no time at all.
                if now < self.mixers[mixer].stutters_until {
                    return Ok(());
                }
                self.mixers[mixer].stutters_until = lasts(u64::from(count) * (ms + apart_ms));
                self.recorder.record(&note(lasts(u64::from(count) * (ms + apart_ms))));
                self.carry_out(Due::Stutter { mixer, left: count, ms, apart_ms })?;
            }
            Trouble::MixerReloads { mixer, signals } => {
                self.recorder.record(&note(now));
                let place = 1 - self.mixers[mixer].place;
                self.mixers[mixer].place = place;
                self.write_config(mixer)?;
                self.mixers[mixer].agent.tell(&AgentOrder::Move);
                self.carry_out(Due::Hangup { mixer, left: signals })?;
            }
            Trouble::MixerReports { mixer } => {
                self.recorder.record(&note(now));
                self.signal_mixer(mixer, Signal::USR1, "USR1");
            }
            Trouble::LogReaderGone { mixer } => {
                self.recorder.record(&note(f64::MAX));
                self.mixers[mixer].process.iter().for_each(|process| process.log.go());
            }
            Trouble::LogReaderStalls { mixer, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.mixers[mixer].process.iter().for_each(|process| process.log.stall(ms));
            }
            Trouble::SearcherPaused { searcher, ms } => {
                self.recorder.record(&note(lasts(ms)));
                if let Some(process) = &self.searchers[searcher].process {
                    signal(&process.child, Signal::STOP);
                }
                self.later(ms, Due::ResumeSearcher(searcher));
            }
            Trouble::SearcherRestarts { searcher, ms } => {
                if self.searchers[searcher].status != Status::Up || self.searchers[searcher].process.is_none()
                {
                    return Ok(());
                }
                self.recorder.record(&note(lasts(ms)));
                self.searchers[searcher].process = None;
                self.later(ms, Due::StartSearcher(searcher));
            }
            Trouble::SearcherDoes { searcher, manner, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.searcher_does(searcher, manner);
                self.later(ms, Due::Behave(searcher));
            }
            Trouble::SearcherReplaced { searcher, drains_ms } => {
                let place = &mut self.searchers[searcher];
                if place.status != Status::Up
                    || place.generation + 1 >= GENERATIONS
                    || place.process.is_none()
                {
                    return Ok(());
                }
                place.status = Status::Draining;
                self.recorder.record(&note(lasts(drains_ms)));
                let listed = self.searchers[searcher].listed();
                self.tell_agents(&[listed]);
                self.later(drains_ms, Due::RemoveSearcher(searcher));
            }
            Trouble::ProxyPasses { proxy, passing, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.proxies[proxy].tell(&ProxyOrder::Passing(passing));
                self.later(ms, Due::PassWhole(proxy));
            }
            Trouble::AgentSilent { mixer, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.mixers[mixer].agent.tell(&AgentOrder::Silent(ms));
            }
            Trouble::AgentDown { mixer, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.mixers[mixer].agent.tell(&AgentOrder::Down(ms));
            }
            Trouble::AgentResets { mixer } => {
                self.recorder.record(&note(now));
                self.mixers[mixer].agent.tell(&AgentOrder::Reset);
            }
            Trouble::AgentSlow { mixer, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.mixers[mixer].agent.tell(&AgentOrder::Slow(ms));
            }
            Trouble::ClientsLeave { mixer } => {
                self.recorder.record(&note(now));
                self.mixers[mixer].clients.tell(&ClientsOrder::LeaveAll);
            }
            Trouble::ClientsBurst { mixer, count } => {
                self.recorder.record(&note(now));
                self.mixers[mixer].clients.tell(&ClientsOrder::Burst(count));
            }
            Trouble::ClientsCrowd { mixer, count, ms } => {
                self.recorder.record(&note(lasts(ms)));
                self.mixers[mixer].clients.tell(&ClientsOrder::Crowd(count, ms));
            }
        }
        Ok(())
    }
}
