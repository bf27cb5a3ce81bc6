//! A searcher of the model: cores and a queue.

use std::collections::VecDeque;

/// A dispatch at a searcher: the part, the dispatch's number and the mixer that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Job {
    pub mixer: usize,
    pub part: u64,
    pub dispatch: u8,
    pub table_type: usize,
}

#[derive(Debug)]
pub(crate) struct Searcher {
    cores: usize,
    waiting: VecDeque<(Job, f64)>,
    running: Vec<Job>,
    pub hangs: bool,
    pub down: bool,
}

impl Searcher {
    pub fn new(cores: usize) -> Self {
        Self { cores, waiting: VecDeque::new(), running: Vec::new(), hangs: false, down: false }
    }

    /// Takes one with its milliseconds of work.
    pub fn take(&mut self, job: Job, work: f64) {
        self.waiting.push_back((job, work));
    }

    /// The next that begins, and how long it takes.
    pub fn begin(&mut self) -> Option<(Job, f64)> {
        if self.hangs || self.down || self.running.len() >= self.cores {
            return None;
        }
        let (job, work) = self.waiting.pop_front()?;
        self.running.push(job);
        Some((job, work))
    }

    /// Whether that was still running.
    pub fn end(&mut self, job: Job) -> bool {
        let place = self.running.iter().position(|j| *j == job);
        place.map(|at| self.running.swap_remove(at)).is_some()
    }

    /// Drops what has not begun.
    pub fn cancel(&mut self, job: Job) {
        self.waiting.retain(|w| w.0 != job);
    }

    /// All is lost.
    pub fn crash(&mut self) -> Vec<Job> {
        let waiting = std::mem::take(&mut self.waiting).into_iter().map(|w| w.0);
        std::mem::take(&mut self.running).into_iter().chain(waiting).collect()
    }
}
