//! Counters of what a mixer has received, sent and answered. The names of the fields are the names of the
//! metrics.

use std::fmt;

use pewterwharf::report::REJECTION_REASONS;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// The scans of each table type. A type that starves shows here.
            pub by_type: Vec<TableTypeCounters>,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                $(writeln!(f, "{} {}", stringify!($name), self.$name)?;)*
                self.by_type.iter().try_for_each(|counts| counts.fmt(f))
            }
        }
    };
}

counters! {
    /// Scans received, and their outcomes: taken = completed + throttled + abandoned + gone + open.
    scans_taken,
    scans_completed,
    /// Of the completed scans, those marked whole.
    scans_whole,
    scans_throttled,
    /// Of the throttled scans, those rejected before the decision module saw them, as the mixer held its
    /// maximum of scans and parts.
    scans_turned_away,
    /// Of the throttled scans, those that were buffered behind other requests on a connection that was
    /// closing.
    scans_refused_at_end,
    /// Of the throttled scans, those rejected by the decision module's admission control, by the reason that
    /// applied to the first of the scan's parts that no searcher could answer in time (the `door_*` counters).
    /// Here: no searcher that holds the part's shard is up.
    door_nobody_up,
    /// Searchers of the shard are up, but all of them are cold and have no capacity left.
    door_cold,
    /// The searcher's smoothed latency, which is its estimated cost, is too high.
    door_cost,
    /// The oldest part in flight at the searcher has waited for too long.
    door_old_part,
    /// The limit on concurrent calls to the searcher is reached.
    door_limit,
    scans_abandoned,
    /// Scans whose client disconnected before the answer.
    scans_gone,
    scans_open,
    /// Of the abandoned scans, those that were still open after their deadline: zero in normal operation.
    scans_overdue,
    /// Unusable requests, answered with a 4xx or 5xx status.
    requests_unusable,
    clients_accepted,
    clients_open,
    clients_dropped_for_room,
    /// Clients that sent no whole request in time.
    clients_slow,
    /// Clients whose connection the mixer closed, by reason.
    clients_closed_for_room,
    clients_closed_crowded,
    clients_closed_draining,
    clients_closed_after_last_answer,
    accepts_failed,
    dispatches,
    dispatches_further,
    /// Of the further dispatches, those sent while an earlier one was open (hedges), and the others by the
    /// outcome of the one before.
    hedges,
    retries_after_none_sent,
    retries_after_error,
    retries_after_full,
    retries_after_time_out,
    retries_after_connect_failed,
    retries_after_reset,
    /// Attempts that were not sent, by the reason at the time of sending.
    sends_refused_query_over,
    sends_refused_client_left,
    sends_refused_time_is_up,
    sends_refused_part_answered,
    sends_refused_may_have_run,
    sends_refused_window_passed,
    sends_refused_attempts_used_up,
    sends_refused_searcher_not_ready,
    sends_refused_searcher_moved,
    /// Attempts that ended, by outcome.
    ended_ok,
    ended_error,
    ended_full,
    ended_timed_out,
    ended_connect_failed,
    ended_reset,
    ended_cancelled,
    ended_moot,
    /// Answers for attempts that had already ended, and probe answers without an open probe.
    answers_stale,
    /// Answers that were not accepted, as what was behind them may have been the rest of their value.
    answers_doubted,
    frames_bad,
    probes,
    probes_ok,
    links_opened,
    links_failed,
    links_open,
    /// How often a searcher accepted no more bytes while something waited to be written.
    links_blocked,
    /// Links closed by the mixer, by reason, and those that ended by themselves.
    links_closed_silent,
    links_closed_doubted,
    links_closed_for_room,
    links_closed_moved,
    links_closed_idle,
    links_closed_stuck,
    links_closed_unusable,
    links_ended,
    lists,
    list_entries_bad,
    watches_lost,
    /// Lists of a watch that a newer watch has replaced.
    lists_late,
    /// Lists with an older version than the one in use. They do not undo a drain.
    lists_older,
    /// Violations of rules that must hold in any case: always zero without a fault in the mixer. See
    /// `src/reducer/rules.rs`.
    violations_send,
    violations_answer,
    violations_deadline,
    violations_unanswered,
    /// Pauses of the whole process, which are detected by turns that come late.
    pauses,
    /// Reloads of the configuration that were applied, and those that failed as the file is unusable.
    reloads,
    reloads_failed,
}

/// The outcomes of the scans of one table type: taken = completed + throttled + abandoned + gone + open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableTypeCounters {
    pub name: String,
    pub taken: u64,
    pub completed: u64,
    pub throttled: u64,
    /// Of the throttled scans, those rejected by admission control, in the order of the `door_*` counters
    /// above.
    pub rejected: [u64; REJECTION_REASONS],
    pub abandoned: u64,
    pub gone: u64,
}

impl fmt::Display for TableTypeCounters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { name, taken, completed, throttled, rejected, abandoned, gone } = self;
        let [nobody_up, cold, cost, old_part, limit] = *rejected;
        let counters = [
            ("scans_taken", *taken),
            ("scans_completed", *completed),
            ("scans_throttled", *throttled),
            ("door_nobody_up", nobody_up),
            ("door_cold", cold),
            ("door_cost", cost),
            ("door_old_part", old_part),
            ("door_limit", limit),
            ("scans_abandoned", *abandoned),
            ("scans_gone", *gone),
        ];
        counters
            .iter()
            .try_for_each(|(counter, count)| writeln!(f, "{counter}{{table_type={name:?}}} {count}"))
    }
}
