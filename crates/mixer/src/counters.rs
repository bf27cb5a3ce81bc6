//! What a mixer has taken in, sent and answered.

use std::fmt;

use pewterwharf::report::REJECTION_REASONS;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// The scans of each table type: one that starves is seen here.
            pub by_type: Vec<ByType>,
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
    /// Scans taken, and what became of them: taken = completed + throttled + abandoned + gone + open.
    scans_taken,
    scans_completed,
    /// Of the completed, those marked whole.
    scans_whole,
    scans_throttled,
    /// Of the throttled, those turned away before the module, as the mixer held its full number.
    scans_turned_away,
    /// Of the throttled, those that were sent behind others on a connection that was to close.
    scans_refused_at_end,
    /// Of the throttled, those refused by the module's door, by what their first part met: no searcher that is up; none that
    /// has room, those that are up being cold; what its searcher is believed to take; a part of ours that waits there; the limit on calls out there.
    door_nobody_up,
    door_cold,
    door_cost,
    door_old_part,
    door_limit,
    scans_abandoned,
    /// Their client went away before the answer.
    scans_gone,
    scans_open,
    /// Of the abandoned, those that were still open at their time: none, if all is well.
    scans_overdue,
    /// Requests that could not be used, answered with a 4xx or 5xx.
    requests_unusable,
    clients_accepted,
    clients_open,
    clients_dropped_for_room,
    /// They sent no whole request in time.
    clients_slow,
    /// Clients whose connection the mixer closed, by why.
    clients_closed_for_room,
    clients_closed_crowded,
    clients_closed_draining,
    clients_closed_after_last_answer,
    accepts_failed,
    dispatches,
    dispatches_further,
    /// Of the further ones, those sent beside one that was still out, and the others by how the one before ended.
    hedges,
    retries_after_none_sent,
    retries_after_error,
    retries_after_full,
    retries_after_time_out,
    retries_after_connect_failed,
    retries_after_reset,
    /// Attempts that were not sent, by why not at the moment of sending.
    sends_refused_query_over,
    sends_refused_client_left,
    sends_refused_time_is_up,
    sends_refused_part_answered,
    sends_refused_may_have_run,
    sends_refused_window_passed,
    sends_refused_attempts_used_up,
    sends_refused_searcher_not_ready,
    sends_refused_searcher_moved,
    ended_ok,
    ended_error,
    ended_full,
    ended_timed_out,
    ended_connect_failed,
    ended_reset,
    ended_cancelled,
    ended_moot,
    /// Answers for parts that were over or never sent there.
    answers_stale,
    frames_bad,
    probes,
    probes_ok,
    links_opened,
    links_failed,
    links_open,
    /// How often a searcher took no more of what waited for a link.
    links_blocked,
    /// Links by why they were closed, and those that ended by themselves.
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
    /// Lists of a watch that a newer one has replaced.
    lists_late,
    /// Lists older than the one held: none takes a drain back.
    lists_older,
    /// What must never happen: none, if all is well. See `src/reducer/rules.rs`.
    violations_send,
    violations_answer,
    violations_deadline,
    violations_unanswered,
    /// Turns that came late as the process itself stood still.
    pauses,
    /// New configurations that were taken, and files that could not be used.
    reloads,
    reloads_failed,
}

/// What became of the scans of one table type: taken = completed + throttled + abandoned + gone + open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByType {
    pub name: String,
    pub taken: u64,
    pub completed: u64,
    pub throttled: u64,
    /// Of the throttled, those refused by the door, in the order of its counters above.
    pub door: [u64; REJECTION_REASONS],
    pub abandoned: u64,
    pub gone: u64,
}

impl fmt::Display for ByType {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { name, taken, completed, throttled, door, abandoned, gone } = self;
        let [nobody_up, cold, cost, old_part, limit] = *door;
        let counts = [
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
        counts.iter().try_for_each(|(count, number)| writeln!(f, "{count}{{table_type={name:?}}} {number}"))
    }
}
