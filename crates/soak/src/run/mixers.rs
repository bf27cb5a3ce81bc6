//! The mixers of a run: starting, checking, signalling, replacing and ending them as the platform does.

use std::time::Duration;

use anyhow::{Context, Result};
use rustix::process::Signal;

use super::{Action, EndingProcess, Run, ScheduledAction, SearcherSlot, record_counters};
use crate::agent;
use crate::clock::now_ms;
use crate::control::{ClientsCommand, ListedSearcher};
use crate::process::{ClockDelays, MixerProcess, Preload, fetch_page, send_signal};
use crate::record::{Event, Status};
use crate::settings::{self, SMALL_BUFFER_BYTES};

/// Delays of threads after they read the clock: shorter than the 150 ms that the platform states.
const CLOCK_DELAYS: ClockDelays = ClockDelays { one_in: 3000, max_ms: 140 };
/// The time between the end of a process and the start of the next one.
const RESTART_DELAY_MS: f64 = 50.0;
/// The time for the last lines of the log of a process that has ended.
const LOG_DELAY: Duration = Duration::from_millis(10);
/// Recorded for a SIGKILL after the time limit of a SIGTERM.
const KILL_AFTER_TERM: &str = "KILL after TERM";

impl Run<'_> {
    /// Records whether a mixer became ready or ended, kills one that takes too long to end, and schedules the next process.
    pub(super) fn check_mixer(&mut self, number: usize) -> Result<()> {
        let now = now_ms();
        self.check_predecessor(number)?;
        let mixer = &mut self.mixers[number];
        let Some(process) = &mut mixer.process else { return Ok(()) };
        if let Some(status) = process.child.try_wait()? {
            let (status, expected) = (status.code(), mixer.kill_at.is_some());
            self.recorder.record(&Event::Exited { at: now, mixer: number, status, expected });
            std::thread::sleep(LOG_DELAY);
            let counters = process.log.counters();
            record_counters(&self.recorder, number, &counters);
            mixer.process = None;
            mixer.kill_at = None;
            mixer.is_ready = false;
            mixer.clients.send(&ClientsCommand::SetInRotation(false));
            let action = Action::StartMixer(number);
            self.schedule.push(ScheduledAction { due_at: now + RESTART_DELAY_MS, action });
            return Ok(());
        }
        if mixer.kill_at.is_some_and(|kill_at| kill_at <= now) {
            let signal = KILL_AFTER_TERM.to_owned();
            self.recorder.record(&Event::Signalled { at: now, mixer: number, signal });
            send_signal(&process.child, Signal::KILL);
            mixer.kill_at = Some(f64::INFINITY);
            return Ok(());
        }
        if !mixer.is_ready
            && mixer.kill_at.is_none()
            && fetch_page(mixer.listen, "/-/ready").is_ok_and(|(status, _)| status == 200)
        {
            mixer.is_ready = true;
            self.recorder.record(&Event::Ready { at: now_ms(), mixer: number });
            mixer.clients.send(&ClientsCommand::SetInRotation(true));
        }
        Ok(())
    }

    /// The same for a process whose successor already runs.
    fn check_predecessor(&mut self, number: usize) -> Result<()> {
        let now = now_ms();
        let Some(EndingProcess { process, kill_at }) = &mut self.mixers[number].predecessor else {
            return Ok(());
        };
        if let Some(status) = process.child.try_wait()? {
            let status = status.code();
            self.recorder.record(&Event::Exited { at: now, mixer: number, status, expected: true });
            std::thread::sleep(LOG_DELAY);
            record_counters(&self.recorder, number, &process.log.counters());
            self.mixers[number].predecessor = None;
        } else if *kill_at <= now {
            let signal = KILL_AFTER_TERM.to_owned();
            self.recorder.record(&Event::Signalled { at: now, mixer: number, signal });
            send_signal(&process.child, Signal::KILL);
            *kill_at = f64::INFINITY;
        }
        Ok(())
    }

    /// Starts the next process of a mixer while the current one still ends.
    pub(super) fn start_successor(&mut self, number: usize) -> Result<()> {
        let mixer = &mut self.mixers[number];
        // The process may have ended already, and its successor been started.
        let Some(kill_at) = mixer.kill_at else { return Ok(()) };
        mixer.clients.send(&ClientsCommand::SetInRotation(false));
        if let Some(process) = mixer.process.take() {
            mixer.predecessor = Some(EndingProcess { process, kill_at });
            self.start_mixer(number)?;
        }
        Ok(())
    }

    pub(super) fn start_mixer(&mut self, number: usize) -> Result<()> {
        self.write_config(number)?;
        let mixer = &mut self.mixers[number];
        mixer.processes += 1;
        let folder = &self.options.folder;
        let log = folder.join(format!("{}-{}.log", mixer.name, mixer.processes));
        let preload = Preload {
            libraries: self.libraries.clone(),
            record: folder.join(format!("sends-{}-{}.jsonl", mixer.name, mixer.processes)),
            send_buffer_bytes: self.options.small_buffers.then_some(SMALL_BUFFER_BYTES),
            clock_delays: self.options.clock_delays.then_some(CLOCK_DELAYS),
        };
        self.recorder.record(&Event::Started { at: now_ms(), mixer: number });
        mixer.process = Some(MixerProcess::start(
            &self.options.program,
            &folder.join(format!("{}.json", mixer.name)),
            log,
            &preload,
        )?);
        mixer.is_ready = false;
        mixer.kill_at = None;
        Ok(())
    }

    /// Writes a mixer's configuration atomically, as the platform does.
    pub(super) fn write_config(&self, number: usize) -> Result<()> {
        let mixer = &self.mixers[number];
        let listed: Vec<ListedSearcher> = self
            .searchers
            .iter()
            .map(SearcherSlot::listed)
            .filter(|searcher| searcher.status != Status::Removed)
            .collect();
        let known = agent::discovery_list(0, true, &listed.iter().collect::<Vec<_>>());
        let seed = self.options.seed * 1000 + u64::from(mixer.processes);
        let config = settings::mixer_config(
            &mixer.name,
            mixer.listen,
            mixer.discovery_addresses[mixer.discovery_index],
            seed,
            self.mixers.len(),
            &known,
        );
        let path = self.options.folder.join(format!("{}.json", mixer.name));
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, config.to_string()).context("writing a configuration")?;
        std::fs::rename(temporary, path)?;
        Ok(())
    }

    pub(super) fn signal_mixer(&mut self, number: usize, kind: Signal, name: &str) {
        if let Some(process) = &self.mixers[number].process {
            self.recorder.record(&Event::Signalled { at: now_ms(), mixer: number, signal: name.to_owned() });
            send_signal(&process.child, kind);
        }
    }

    /// Resumes a mixer, whichever of its processes was stopped.
    pub(super) fn resume_mixer(&mut self, number: usize) {
        if let Some(ending) = &self.mixers[number].predecessor {
            send_signal(&ending.process.child, Signal::CONT);
        }
        self.signal_mixer(number, Signal::CONT, "CONT");
    }

    /// Whether a mixer's process runs that was not sent SIGTERM, and no predecessor is still ending.
    pub(super) fn may_end(&self, number: usize) -> bool {
        let mixer = &self.mixers[number];
        mixer.process.is_some() && mixer.kill_at.is_none() && mixer.predecessor.is_none()
    }
}
