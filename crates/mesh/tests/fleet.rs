//! Membership and replication of many mixers on a seeded network, through loss, reordering, partitions,
//! stalls and crashes.

mod net;

use net::Net;
use pewterwharf_mesh::{Frame, FrameError, MAX_FRAME_BYTES, Node, NodeOutput};
use pewterwharf_peers::{Hello, Incarnation, MembershipState};
use pewterwharf_replica::{Advice, BatchKind, CatchUpProgress, RecordBatch, ReplicaMessage, WireRecord};

/// Runs one seed: faults for some seconds, then a heal. Returns the time to convergence, or the state of all
/// mixers if they do not converge.
fn run_faults(seed: u64) -> Result<f64, String> {
    let mut net = Net::new(3 + (seed % 3) as usize, seed);
    let n = net.processes.len();
    net.run(1500.0);
    for _ in 0..12 {
        inject_fault(&mut net);
        for _ in 0..4 {
            let mixer = net.rng.rand_range(0..n as u64) as usize;
            let (searcher, marked) = (net.rng.rand_range(0..6) as u16, net.rng.rand_float() < 0.6);
            net.mark(mixer, searcher, marked);
        }
        let duration_ms = 100.0 + net.rng.rand_float() * 1500.0;
        net.run(duration_ms);
    }
    net.heal();
    net.max_delay_ms = 5.0;
    for i in 0..n {
        if net.processes[i].node.is_none() {
            net.start(i);
        }
    }
    net.run(4000.0); // the last stall is over
    net.run_until_converged(20_000.0).ok_or_else(|| {
        let states = net.processes.iter().map(|process| debug_state(running(process)));
        states.collect::<Vec<_>>().join("\n")
    })
}

fn inject_fault(net: &mut Net) {
    let n = net.processes.len();
    let i = net.rng.rand_range(0..n as u64) as usize;
    let j = net.rng.rand_range(0..n as u64) as usize;
    match net.rng.rand_range(0..9) {
        0 => net.cut[i][j] = true,
        1 => {
            let side = net.rng.rand_u64();
            net.partition(|x| side >> x & 1 == 0);
        }
        2 => net.loss = 0.3,
        3 => net.stall(i, 4000.0),
        4 => net.kill(i),
        5 if net.processes[i].node.is_none() => net.start(i),
        6 => net.heal(),
        7 => net.max_delay_ms = 200.0,
        _ => {}
    }
}

fn running(process: &net::Process) -> &Node {
    process.node.as_ref().expect("the process runs")
}

fn debug_state(node: &Node) -> String {
    format!(
        "{:?} {:?} up {:?} {:?}\n  {}",
        node.membership.state(),
        node.exchange.progress(),
        node.membership.up(),
        node.exchange.replica.version_vector(),
        node.membership.debug_state()
    )
}

fn run_all_seeds(seeds: std::ops::Range<u64>) {
    let threads = std::thread::available_parallelism().map_or(4, usize::from) as u64;
    let failed: Vec<String> = std::thread::scope(|scope| {
        let (from, to) = (seeds.start, seeds.end);
        let run = move |thread| {
            let mine = (from..to).filter(move |seed| seed % threads == thread);
            mine.filter_map(|seed| run_faults(seed).err().map(|state| format!("seed {seed}:\n{state}")))
                .collect::<Vec<_>>()
        };
        let runs: Vec<_> = (0..threads).map(|thread| scope.spawn(move || run(thread))).collect();
        runs.into_iter().flat_map(|run| run.join().expect("no run panics")).collect()
    });
    assert!(
        failed.is_empty(),
        "{} of {} seeds do not converge; the first\n{}",
        failed.len(),
        seeds.end - seeds.start,
        failed[0]
    );
}

#[test]
fn convergence_under_faults() {
    run_all_seeds(0..2000);
}

/// Guards against a mixer that ignores the messages of a running process because it holds an ended incarnation of
/// the same name with a higher number.
#[test]
fn forged_death_of_later_incarnation() {
    assert_eq!(run_faults(25_656).map(|_| ()), Ok(()));
}

#[test]
#[ignore = "a hundred thousand seeds take some minutes"]
fn convergence_under_faults_long() {
    run_all_seeds(0..100_000);
}

#[test]
fn restart_of_whole_fleet() {
    let mut net = Net::new(5, 1);
    net.run(3000.0);
    net.mark(0, 1, true);
    net.run(1000.0);
    (0..5).for_each(|i| net.kill(i));
    net.run(500.0);
    (0..5).for_each(|i| net.start(i));
    assert!(net.run_until_converged(10_000.0).is_some());
    net.run(1000.0);
    for process in &net.processes {
        let node = running(process);
        assert_eq!(node.exchange.progress(), CatchUpProgress::Done);
        assert_eq!(node.exchange.replica.records().count(), 0, "earlier records are void");
    }
}

#[test]
fn two_processes_under_one_name() {
    let mut net = Net::new(3, 2);
    net.run(3000.0);
    let mut earlier = net.processes[2].node.take().expect("the process runs");
    net.start(2);
    net.run(2000.0);
    let earlier_now_ms = net.local_time_ms(2);
    let later = running(&net.processes[2]);
    assert_eq!(later.membership.state(), MembershipState::Member);
    assert!(later.membership.incarnation() > earlier.membership.incarnation());
    // The earlier process keeps running and sends hellos to a peer until it is superseded.
    for _ in 0..4 {
        let hello = earlier.membership.hello_to(earlier_now_ms, "m1");
        let now_ms = net.local_time_ms(0);
        let peer = net.processes[0].node.as_mut().expect("the process runs");
        if let Err(rejection) = peer.handle_hello(now_ms, &hello) {
            earlier.link_rejected(earlier_now_ms, &rejection);
        }
        earlier.tick(earlier_now_ms);
        net.run(1000.0);
    }
    let later = running(&net.processes[2]);
    assert_eq!(later.membership.state(), MembershipState::Member);
    let nonce = later.membership.incarnation().nonce;
    assert!(matches!(earlier.membership.state(), MembershipState::Superseded(by) if by.nonce == nonce));
    let output = earlier.tick(earlier_now_ms);
    assert!(
        output.iter().all(|o| matches!(o, NodeOutput::Log(_) | NodeOutput::Advice(_))),
        "it sends nothing more: {output:?}"
    );
    assert!(net.run_until_converged(5000.0).is_some());
}

#[test]
fn path_cut_in_one_direction() {
    let mut net = Net::new(3, 3);
    net.run(3000.0);
    net.cut[0][1] = true;
    net.run(10_000.0);
    assert!(net.has_converged(), "with one cut path of six no mixer counts as down");
    net.mark(0, 4, true);
    assert!(net.run_until_converged(2000.0).is_some(), "its records still reach all others");
}

#[test]
fn recovery_after_long_stall() {
    let mut net = Net::new(5, 4);
    net.run(3000.0);
    net.stall(1, 12_000.0);
    net.run(11_000.0);
    let seen = running(&net.processes[0]).membership.up().len();
    assert_eq!(seen, 3, "the stalled mixer is down for the others");
    net.run(1000.0);
    let took_ms = net.run_until_converged(5000.0).expect("they converge again");
    assert!(took_ms < 5000.0);
    let stalled = &running(&net.processes[1]).membership;
    assert_eq!(stalled.up().len(), 4, "it does not count its own pause against its peers");
}

#[test]
fn probes_with_excessive_marks() {
    let mut net = Net::new(5, 5);
    for i in 0..5 {
        (0..20).for_each(|searcher| net.mark(i, searcher, false));
    }
    net.run(4000.0);
    net.processes.iter_mut().for_each(|process| process.advice.clear());
    for _ in 0..30 {
        (0..20).for_each(|searcher| net.mark(0, searcher, true));
        net.run(1000.0);
    }
    for process in &net.processes[1..] {
        let advice = || process.advice.iter().map(|timed| timed.advice);
        let probes = advice().filter(|a| matches!(a, Advice::Probe(_))).count();
        let suspicions = advice().filter(|a| matches!(a, Advice::Suspect(_))).count();
        assert!(probes > 0 && probes < 40, "{probes} probes in half a minute of 600 false marks");
        assert_eq!(suspicions, 0, "one mixer alone makes no searcher suspect");
    }
}

/// A mixer receives records under its own incarnation that it never published.
#[test]
fn forged_records_of_live_incarnation() {
    const FORGED_KIND: u8 = 200;
    let mut net = Net::new(3, 6);
    net.run(3000.0);
    net.mark(0, 1, true);
    net.run(1000.0);
    let node = running(&net.processes[0]);
    let incarnation = node.membership.incarnation();
    let version = node.exchange.replica.origin("m1").expect("its own records").version;
    let record = WireRecord {
        kind: FORGED_KIND,
        name: "x".to_owned(),
        counter: u64::MAX,
        age_ms: 0,
        value: Some(Vec::new()),
    };
    let batch = RecordBatch {
        origin: "m1".to_owned(),
        incarnation,
        after: version,
        through: u64::MAX,
        tombstone_floor: 0,
        kind: BatchKind::Delta,
        records: vec![record],
    };
    let now_ms = net.local_time_ms(2);
    let sender = running(&net.processes[2]).membership.incarnation();
    let forged = Frame::Replica(ReplicaMessage::Batches { batches: vec![batch], remaining: 0 });
    let deceived = net.processes[1].node.as_mut().expect("the process runs");
    deceived.handle_frame(now_ms, "m3", sender, forged);
    assert!(deceived.exchange.replica.records().any(|record| record.kind == FORGED_KIND));
    assert!(net.run_until_converged(5000.0).is_some());
    for process in &net.processes {
        let records = running(process).exchange.replica.records();
        let kinds = records.filter(|record| record.origin == "m1").map(|record| record.kind);
        assert_eq!(kinds.collect::<Vec<_>>(), [1], "only its own record");
    }
}

#[test]
fn corrupted_and_incomplete_frames() {
    let (fleet, name, incarnation) = ("fleet".to_owned(), "m1".to_owned(), Incarnation::first(77));
    let hello = |format| Hello {
        format,
        fleet: fleet.clone(),
        name: name.clone(),
        incarnation,
        age_ms: 5,
        receiver: None,
    };
    let bytes = Frame::Hello(hello(1)).encode();
    assert_eq!(Frame::decode(&bytes), Ok(Some((Frame::Hello(hello(1)), bytes.len()))));
    for at in 0..bytes.len() {
        assert_eq!(Frame::decode(&bytes[..at]), Ok(None), "cut at {at}");
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            // A greater length waits for more bytes; everything else is detected at once.
            match Frame::decode(&changed) {
                Err(_) => {}
                Ok(None) => assert!(at < 4, "bit {bit} of byte {at}"),
                Ok(Some(frame)) => panic!("bit {bit} of byte {at} decodes as {frame:?}"),
            }
        }
    }
    let other_format = Frame::Hello(hello(2)).encode();
    assert!(
        matches!(Frame::decode(&other_format), Ok(Some((Frame::Hello(h), _))) if h.format == 2),
        "membership rejects it"
    );
    let mut extended = other_format[8..].to_vec();
    extended.extend([9; 40]); // what a later format may add
    let mut frame = (extended.len() as u32).to_le_bytes().to_vec();
    frame.extend(crc32fast::hash(&extended).to_le_bytes());
    frame.extend(&extended);
    assert_eq!(Frame::decode(&frame), Err(FrameError::FormatMismatch(2)));
    let huge = ((60 << 20) as u32).to_le_bytes();
    assert_eq!(Frame::decode(&huge), Err(FrameError::TooLong(60 << 20)), "60 MB are not awaited");
    const { assert!(MAX_FRAME_BYTES < 1 << 16) };
}
