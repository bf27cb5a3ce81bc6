//! Discovery that is slow, crowded or away, on loopback. The tests guard against a mixer that gives a call up before
//! it is answered, or waits for one that never will be.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use pewterwharf_standins as standins;
use standins::scripted_discovery::{CallBehavior, ScriptedDiscovery};

mod harness;
use harness::*;

/// A change counts as known to the mixer this long after discovery had it and could be reached, or after the watch
/// that missed it fell silent. This includes the grace of a drain.
const TOLD_AFTER: Duration = Duration::from_millis(6250);
/// What discovery has at its return from an outage counts as known at once. This includes the grace of a drain and
/// the slack on sockets.
const TOLD_AFTER_RETURN: Duration = Duration::from_millis(300);
/// What discovery has counts as known this long after a new configuration moved the watch there.
const TOLD_AFTER_MOVE: Duration = Duration::from_millis(4250);
/// Time for a test's thread and the mixer's log.
const SLACK: Duration = Duration::from_millis(900);

/// A mixer, its discovery server, and two searchers that can't be reached. One of them will drain.
struct WatchingMixer {
    discovery: ScriptedDiscovery,
    child: Child,
    log: Receiver<(Instant, String)>,
    config_path: String,
    started_at: Instant,
}

fn searchers(first_status: &'static str) -> [(SocketAddr, &'static str); 2] {
    [
        ("127.0.0.1:9".parse().expect("an address"), first_status),
        ("127.0.0.1:10".parse().expect("an address"), "up"),
    ]
}

/// Reads a log in a thread of its own, with the time of each line.
fn read_lines(log: BufReader<ChildStderr>) -> Receiver<(Instant, String)> {
    let (sender, lines) = mpsc::channel();
    let read =
        move || log.lines().map_while(Result::ok).try_for_each(|line| sender.send((Instant::now(), line)));
    thread::spawn(read);
    lines
}

impl WatchingMixer {
    /// Starts a mixer; with `has_known`, it holds a list from before its start.
    fn start(name: &str, discovery: ScriptedDiscovery, has_known: bool) -> Self {
        let config_path = write_config(name, |config| {
            if has_known {
                config["known"] = standins::discovery_list(1, true, &searchers("up"));
            }
            config["limits"]["sockets"] = 256.into();
        });
        let started_at = Instant::now();
        let child = mixer_command("true", &discovery.address.to_string(), &config_path)
            .env("RUST_LOG", "info,pewterwharf_mixer::discovery=debug")
            .spawn();
        let LaunchedMixer { child, log, .. } = wait_until_listening(child.expect("the mixer starts"));
        Self { discovery, child, log: read_lines(log), config_path, started_at }
    }

    /// Starts a mixer whose watch is open.
    fn start_watching(name: &str) -> Self {
        let discovery = ScriptedDiscovery::start(&searchers("up")).expect("a free port");
        let mixer = Self::start(name, discovery, false);
        mixer.wait_for("ready");
        mixer
    }

    /// When the mixer logged this text.
    fn wait_for(&self, text: &str) -> Instant {
        let until = Instant::now() + 2 * TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let Ok((at, line)) = self.log.recv_timeout(left) else { panic!("not logged: {text}") };
            if line.contains(text) {
                return at;
            }
        }
    }

    /// Checks that the drain of the first searcher is received within this time.
    fn check_drain_received(&self, since: Instant, within: Duration, case: &str) {
        let after = self.wait_for("drains").duration_since(since);
        assert!(after < within, "{case}: the drain is received after {after:?}, not within {within:?}");
    }

    /// Silences the open watch, and lets further calls behave like this. Returns when that was.
    fn break_watch(&self, behavior: CallBehavior) -> Instant {
        self.discovery.set_behavior(behavior);
        self.discovery.silence_watches();
        Instant::now()
    }

    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the mixer runs").count()
    }

    /// Makes the mixer read a configuration that names this discovery server. Returns when that was.
    fn move_to(&self, discovery: &ScriptedDiscovery) -> Instant {
        let text = std::fs::read_to_string(&self.config_path).expect("the configuration can be read");
        let moved = text.replace("127.0.0.1:8500", &discovery.address.to_string());
        std::fs::write(&self.config_path, moved).expect("the file can be written");
        let moved_at = Instant::now();
        send_signal(&self.child, "HUP");
        moved_at
    }
}

impl Drop for WatchingMixer {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

fn answered_after(delay_ms: u64) -> CallBehavior {
    CallBehavior::Answered(Duration::from_millis(delay_ms))
}

/// Runs a check for each of these cases at the same time.
fn check_all<T: Sync>(cases: &[T], check: impl Fn(&T) + Sync) {
    thread::scope(|scope| cases.iter().for_each(|case| drop(scope.spawn(|| check(case)))));
}

/// Guards against a mixer that is never ready, or goes by its old list for good, as each of its calls ends before
/// slow discovery answers it.
#[test]
fn slow_answers_from_the_start() {
    let cases = [100, 1000, 3000, 5000, 12_000].map(|delay_ms| [(delay_ms, false), (delay_ms, true)]);
    check_all(cases.as_flattened(), |(delay_ms, has_known)| {
        let discovery = ScriptedDiscovery::start(&searchers("draining")).expect("a free port");
        discovery.set_behavior(answered_after(*delay_ms));
        let mixer = WatchingMixer::start(&format!("slow-{delay_ms}-{has_known}"), discovery, *has_known);
        let within = Duration::from_millis(*delay_ms) + SLACK;
        let heard_after = mixer.wait_for("has answered after").duration_since(mixer.started_at);
        assert!(heard_after < within, "{delay_ms} ms, known list {has_known}: {heard_after:?}");
    });
}

/// Guards against a mixer that starts while discovery is silent and sends to a searcher by its old list, although
/// discovery holds that it drains.
#[test]
fn start_within_outage() {
    let outages = [CallBehavior::Hangs, CallBehavior::WaitsForReturn];
    let cases = outages.map(|outage| [(outage, 1000), (outage, 2500), (outage, 3800)]);
    check_all(cases.as_flattened(), |(during_outage, outage_ms)| {
        let case = format!("start-{during_outage:?}-{outage_ms}");
        let discovery = ScriptedDiscovery::start(&searchers("draining")).expect("a free port");
        discovery.set_behavior(*during_outage);
        let mixer = WatchingMixer::start(&case, discovery, true);
        thread::sleep(Duration::from_millis(*outage_ms));
        mixer.discovery.set_behavior(answered_after(0));
        // Calls are at most 1 s apart. The old list, by which the mixer would send, does not have the drain.
        let ready_at = mixer.wait_for("ready");
        let ready_after = ready_at.duration_since(mixer.started_at);
        let within = Duration::from_millis(*outage_ms) + Duration::from_secs(1) + SLACK;
        assert!(ready_after < within, "{case}: ready after {ready_after:?}");
        assert!(ready_after >= Duration::from_millis(*outage_ms), "{case}: ready after {ready_after:?}");
    });
}

/// Guards against a drain that is missed because discovery is slow from the break of a watch on.
#[test]
fn slow_answers_after_silent_watch() {
    check_all(&[100, 1000, 3000], |delay_ms| {
        let mixer = WatchingMixer::start_watching(&format!("silent-{delay_ms}"));
        let silent_since = mixer.break_watch(answered_after(*delay_ms));
        mixer.discovery.publish(&searchers("draining"));
        mixer.check_drain_received(silent_since, TOLD_AFTER, &format!("{delay_ms} ms"));
    });
}

/// Guards against time lost before the first call after a break: slow discovery has only what is left of the 6 s.
#[test]
fn first_call_after_silent_watch() {
    let noticed_after: Vec<Duration> = thread::scope(|scope| {
        let notice = |number: u32| {
            let mixer = WatchingMixer::start_watching(&format!("notice-{number}"));
            let silent_since = mixer.break_watch(CallBehavior::Hangs);
            mixer.wait_for("requests the changes").duration_since(silent_since)
        };
        let plays: Vec<_> = (0..3).map(|number| scope.spawn(move || notice(number))).collect();
        plays.into_iter().map(|play| play.join().expect("the play ends")).collect()
    });
    // A busy machine may delay some of them.
    let noticed_after = noticed_after.into_iter().min().expect("a play");
    assert!(noticed_after < Duration::from_millis(2500), "called after {noticed_after:?}");
}

/// Guards against a mixer that waits for one call which hangs, while others would be answered.
#[test]
fn call_that_hangs_before_slow_answers() {
    let cases = [100, 1000, 3000].map(|delay_ms| [(delay_ms, false), (delay_ms, true)]);
    check_all(cases.as_flattened(), |(delay_ms, is_at_start)| {
        let case = format!("hanging-{delay_ms}-{is_at_start}");
        let behavior = answered_after(*delay_ms);
        if *is_at_start {
            let discovery = ScriptedDiscovery::start(&searchers("draining")).expect("a free port");
            discovery.set_next_behaviors(&[CallBehavior::Hangs]);
            discovery.set_behavior(behavior);
            let mixer = WatchingMixer::start(&case, discovery, true);
            let heard_after = mixer.wait_for("has answered after").duration_since(mixer.started_at);
            assert!(heard_after < TOLD_AFTER, "{case}: heard after {heard_after:?}");
        } else {
            let mixer = WatchingMixer::start_watching(&case);
            mixer.discovery.set_next_behaviors(&[CallBehavior::Hangs]);
            let silent_since = mixer.break_watch(behavior);
            mixer.discovery.publish(&searchers("draining"));
            mixer.check_drain_received(silent_since, TOLD_AFTER, &case);
        }
    });
}

/// Guards against a late drain after an outage, whether discovery answers what was called meanwhile or not, and
/// whether it is quick or slow after its return.
#[test]
fn return_from_outage() {
    let outage = Duration::from_millis(2600 + 3000); // from the watch's last line on
    let outages = [CallBehavior::Hangs, CallBehavior::WaitsForReturn];
    let cases = outages.map(|outage| [(outage, 0), (outage, 3000)]);
    check_all(cases.as_flattened(), |(during_outage, delay_ms)| {
        let mixer = WatchingMixer::start_watching(&format!("outage-{during_outage:?}-{delay_ms}"));
        mixer.break_watch(*during_outage);
        mixer.discovery.publish(&searchers("draining"));
        thread::sleep(outage);
        let back_at = Instant::now();
        mixer.discovery.set_behavior(answered_after(*delay_ms));
        let within = if *delay_ms == 0 { TOLD_AFTER_RETURN } else { TOLD_AFTER };
        mixer.check_drain_received(back_at, within, &format!("{during_outage:?}, then {delay_ms} ms"));
    });
}

/// Guards against calls that were refused in an outage and take the place of one that slow discovery then answers.
#[test]
fn slow_answers_after_refused_calls() {
    let delay = Duration::from_millis(7000);
    let discovery = ScriptedDiscovery::start(&searchers("up")).expect("a free port");
    discovery.set_next_behaviors(&[CallBehavior::Closes; 3]);
    discovery.set_behavior(CallBehavior::Answered(delay));
    let mixer = WatchingMixer::start("refused", discovery, false);
    let heard_after = mixer.wait_for("has answered after").duration_since(mixer.started_at);
    assert!(heard_after < delay + SLACK, "heard after {heard_after:?}");
}

/// Guards against calls that queue up at discovery which answers one after the other, so that later ones wait for
/// those that were ended.
#[test]
fn calls_answered_in_turn() {
    let cases = [300, 1000, 3000].map(|delay_ms| [(delay_ms, false), (delay_ms, true)]);
    check_all(cases.as_flattened(), |(delay_ms, has_known)| {
        let case = format!("in-turn-{delay_ms}-{has_known}");
        let discovery = ScriptedDiscovery::start(&searchers("up")).expect("a free port");
        let delay = Duration::from_millis(*delay_ms);
        discovery.set_behavior(CallBehavior::AnsweredInTurn(delay));
        let mixer = WatchingMixer::start(&case, discovery, *has_known);
        let heard_at = mixer.wait_for("has answered after");
        let heard_after = heard_at.duration_since(mixer.started_at);
        assert!(heard_after < delay + SLACK, "{case}: heard after {heard_after:?}");
        // Without the watch that follows the list on its connection, and a call that crosses the answer.
        let is_earlier = |called_at: &&Instant| **called_at + Duration::from_millis(100) < heard_at;
        let calls = mixer.discovery.calls().iter().filter(is_earlier).count();
        assert!(calls <= 5, "{case}: {calls} calls");
        // A change that comes right after the list is told on the connection that brought it.
        mixer.discovery.publish(&searchers("draining"));
        mixer.check_drain_received(Instant::now(), TOLD_AFTER, &case);
    });
}

/// Guards against an answer that is given up although more of it arrives all the time.
#[test]
fn answer_that_arrives_slowly() {
    check_all(&[false, true], |has_known| {
        let discovery = ScriptedDiscovery::start(&searchers("draining")).expect("a free port");
        // Some ten pieces in all.
        discovery.set_behavior(CallBehavior::AnsweredInPieces(Duration::from_millis(450)));
        let mixer = WatchingMixer::start(&format!("pieces-{has_known}"), discovery, *has_known);
        let heard_after = mixer.wait_for("has answered after").duration_since(mixer.started_at);
        assert!(heard_after < TOLD_AFTER, "known list {has_known}: heard after {heard_after:?}");
    });
}

/// Guards against calls that take all descriptors, or hammer discovery, while all of them hang.
#[test]
fn calls_that_all_hang() {
    let mixer = WatchingMixer::start_watching("all-hang");
    let descriptors_before = mixer.open_descriptors();
    mixer.break_watch(CallBehavior::Hangs);
    thread::sleep(Duration::from_millis(2600));
    let calls_before = mixer.discovery.calls().len();
    let until = Instant::now() + Duration::from_secs(10);
    let mut most_descriptors = 0;
    while Instant::now() < until {
        most_descriptors = most_descriptors.max(mixer.open_descriptors());
        thread::sleep(Duration::from_millis(50));
    }
    let calls = mixer.discovery.calls().len() - calls_before;
    let added = most_descriptors - descriptors_before;
    println!("{calls} calls in 10 s, {added} descriptors more");
    assert!(calls <= 101, "{calls} calls in 10 s");
    assert!(added <= 16, "{added} descriptors more than before");
}

/// Guards against a move to slow discovery that is never completed, also where its first call hangs.
#[test]
fn move_to_slow_discovery() {
    let hangs: &[CallBehavior] = &[CallBehavior::Hangs];
    check_all(&[(100, &[] as &[_]), (3000, &[]), (100, hangs), (1000, hangs)], |(delay_ms, first_calls)| {
        let case = format!("move-{delay_ms}-{}", first_calls.len());
        let mixer = WatchingMixer::start_watching(&case);
        let new_discovery = ScriptedDiscovery::start(&searchers("draining")).expect("a free port");
        new_discovery.set_next_behaviors(first_calls);
        new_discovery.set_behavior(answered_after(*delay_ms));
        let moved_at = mixer.move_to(&new_discovery);
        mixer.check_drain_received(moved_at, TOLD_AFTER_MOVE, &case);
    });
}

/// Guards against the list in use falling behind while its watch is replaced by one that is not heard yet.
#[test]
fn slow_old_discovery_during_move() {
    let mixer = WatchingMixer::start_watching("move-from-slow");
    let new_discovery = ScriptedDiscovery::start(&searchers("up")).expect("a free port");
    new_discovery.set_behavior(CallBehavior::Hangs);
    mixer.move_to(&new_discovery);
    mixer.wait_for("discovery is at");
    let silent_since = mixer.break_watch(answered_after(3000));
    mixer.discovery.publish(&searchers("draining"));
    mixer.check_drain_received(silent_since, TOLD_AFTER, "the old one takes 3 s");
}
