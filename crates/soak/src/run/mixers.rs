//! A run's part for mixers: started, looked at, signalled, handed over and ended as the platform does.

use std::time::Duration;

use anyhow::{Context, Result};
use rustix::process::Signal;

use super::{Due, Run, Searcher, record_counters};
use crate::agent;
use crate::clock::now_ms;
use crate::control::ClientsOrder;
use crate::control::Listed;
use crate::fleet::{MixerProcess, Preload, page, signal};
use crate::record::{Event, Status};
use crate::settings::{self, NARROW};

/// One look at the clock in so many, and for how long at most, in milliseconds: the platform names 150.
const HOLDS: (u32, u32) = (3000, 140);

impl Run<'_> {
    /// Notes that a mixer is ready or has ended, kills one that takes too long over its end, and starts the next process.
    pub(super) fn look_at(&mut self, number: usize) -> Result<()> {
        let now = now_ms();
        self.look_at_the_one_before(number)?;
        let mixer = &mut self.mixers[number];
        let Some(process) = &mut mixer.process else { return Ok(()) };
        if let Some(status) = process.child.try_wait()? {
            let (status, expected) = (status.code(), mixer.ends_by.is_some());
            self.recorder.record(&Event::Exited { at: now, mixer: number, status, expected });
            // The log's last lines may still be on their way.
            std::thread::sleep(Duration::from_millis(10));
            let counters = process.log.counters();
            record_counters(&self.recorder, number, &counters);
            (mixer.process, mixer.ends_by, mixer.ready) = (None, None, false);
            mixer.clients.tell(&ClientsOrder::Front(false));
            self.due.push((now + 50.0, Due::StartMixer(number)));
            return Ok(());
        }
        if mixer.ends_by.is_some_and(|by| by <= now) {
            self.recorder.record(&Event::Signalled {
                at: now,
                mixer: number,
                signal: "KILL after TERM".to_owned(),
            });
            signal(&process.child, Signal::KILL);
            mixer.ends_by = Some(f64::INFINITY);
            return Ok(());
        }
        if !mixer.ready
            && mixer.ends_by.is_none()
            && page(mixer.listen, "/-/ready").is_ok_and(|(status, _)| status == 200)
        {
            mixer.ready = true;
            self.recorder.record(&Event::Ready { at: now_ms(), mixer: number });
            mixer.clients.tell(&ClientsOrder::Front(true));
        }
        Ok(())
    }

    /// The same for a process whose successor runs already.
    fn look_at_the_one_before(&mut self, number: usize) -> Result<()> {
        let now = now_ms();
        let Some((process, ends_by)) = &mut self.mixers[number].before else { return Ok(()) };
        if let Some(status) = process.child.try_wait()? {
            let status = status.code();
            self.recorder.record(&Event::Exited { at: now, mixer: number, status, expected: true });
            std::thread::sleep(Duration::from_millis(10));
            record_counters(&self.recorder, number, &process.log.counters());
            self.mixers[number].before = None;
        } else if *ends_by <= now {
            self.recorder.record(&Event::Signalled {
                at: now,
                mixer: number,
                signal: "KILL after TERM".to_owned(),
            });
            signal(&process.child, Signal::KILL);
            *ends_by = f64::INFINITY;
        }
        Ok(())
    }

    /// Starts the next process of a mixer beside the one that ends.
    pub(super) fn take_over(&mut self, number: usize) -> Result<()> {
        let mixer = &mut self.mixers[number];
        // It may have ended by itself, and its successor have been started, before.
        let Some(ends_by) = mixer.ends_by else { return Ok(()) };
        mixer.clients.tell(&ClientsOrder::Front(false));
        if let Some(process) = mixer.process.take() {
            mixer.before = Some((process, ends_by));
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
            notes: folder.join(format!("sends-{}-{}.jsonl", mixer.name, mixer.processes)),
            send_buffer: self.options.narrow.then_some(NARROW),
            holds: self.options.holds.then_some(HOLDS),
        };
        self.recorder.record(&Event::Started { at: now_ms(), mixer: number });
        mixer.process = Some(MixerProcess::start(
            &self.options.program,
            &folder.join(format!("{}.json", mixer.name)),
            log,
            &preload,
        )?);
        (mixer.ready, mixer.ends_by) = (false, None);
        Ok(())
    }

    /// Writes a mixer's configuration as the platform does, whole or not at all.
    pub(super) fn write_config(&self, number: usize) -> Result<()> {
        let mixer = &self.mixers[number];
        let up: Vec<Listed> =
            self.searchers.iter().map(Searcher::listed).filter(|s| s.status != Status::Removed).collect();
        let known = agent::list(0, true, &up.iter().collect::<Vec<_>>());
        let seed = self.options.seed * 1000 + u64::from(mixer.processes);
        let config = settings::config(
            &mixer.name,
            mixer.listen,
            mixer.places[mixer.place],
            seed,
            self.mixers.len(),
            &known,
        );
        let path = self.options.folder.join(format!("{}.json", mixer.name));
        let new = path.with_extension("new");
        std::fs::write(&new, config.to_string()).context("a configuration")?;
        std::fs::rename(new, path)?;
        Ok(())
    }

    pub(super) fn signal_mixer(&mut self, number: usize, kind: Signal, name: &str) {
        if let Some(process) = &self.mixers[number].process {
            self.recorder.record(&Event::Signalled { at: now_ms(), mixer: number, signal: name.to_owned() });
            signal(&process.child, kind);
        }
    }

    /// Lets a mixer go on, whichever of its processes was stopped.
    pub(super) fn resume_mixer(&mut self, number: usize) {
        if let Some((process, _)) = &self.mixers[number].before {
            signal(&process.child, Signal::CONT);
        }
        self.signal_mixer(number, Signal::CONT, "CONT");
    }

    /// Whether a mixer runs that has not been asked to end, and none ends beside it.
    pub(super) fn may_end(&self, number: usize) -> bool {
        let mixer = &self.mixers[number];
        mixer.process.is_some() && mixer.ends_by.is_none() && mixer.before.is_none()
    }
}
