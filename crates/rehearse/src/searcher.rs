//! Model of a searcher: cores and a queue.

use std::collections::VecDeque;

/// A dispatch at a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Job {
    /// The mixer that sent it.
    pub mixer: usize,
    pub part: u64,
    /// Number of the dispatch within its part.
    pub dispatch: u8,
    pub table_type: usize,
}

#[derive(Debug)]
struct QueuedJob {
    job: Job,
    work_ms: f64,
}

#[derive(Debug)]
pub(crate) struct Searcher {
    cores: usize,
    queue: VecDeque<QueuedJob>,
    running: Vec<Job>,
    pub hangs: bool,
    pub down: bool,
}

impl Searcher {
    pub fn new(cores: usize) -> Self {
        Self { cores, queue: VecDeque::new(), running: Vec::new(), hangs: false, down: false }
    }

    pub fn enqueue(&mut self, job: Job, work_ms: f64) {
        self.queue.push_back(QueuedJob { job, work_ms });
    }

    /// Starts the next job if a core is free. Returns it with its milliseconds of work.
    pub fn start_next(&mut self) -> Option<(Job, f64)> {
        if self.hangs || self.down || self.running.len() >= self.cores {
            return None;
        }
        let QueuedJob { job, work_ms } = self.queue.pop_front()?;
        self.running.push(job);
        Some((job, work_ms))
    }

    /// Ends a job. Returns whether it was still running.
    pub fn end(&mut self, job: Job) -> bool {
        let index = self.running.iter().position(|j| *j == job);
        index.map(|index| self.running.swap_remove(index)).is_some()
    }

    /// Removes a job from the queue; a running job is not stopped.
    pub fn cancel(&mut self, job: Job) {
        self.queue.retain(|queued| queued.job != job);
    }

    /// Drops and returns all jobs.
    pub fn crash(&mut self) -> Vec<Job> {
        let queued = std::mem::take(&mut self.queue).into_iter().map(|queued| queued.job);
        std::mem::take(&mut self.running).into_iter().chain(queued).collect()
    }
}
