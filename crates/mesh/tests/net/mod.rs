//! A seeded network of nodes. Every path has delay, loss and reordering; paths can be cut, processes can
//! stall, crash and restart. The nodes' clocks have different origins and are monotonic, as those of real
//! processes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use oorandom::Rand64;
use pewterwharf_mesh::{Frame, LocalReport, LocalStatus, Node, NodeOutput};
use pewterwharf_peers::{Hello, Incarnation, LinkRejection};
use pewterwharf_replica::Advice;
use pewterwharf_replica::kinds::Stage;

/// Interval at which missing links are opened again.
const HELLO_INTERVAL_MS: f64 = 500.0;
/// Shortest delay of a packet.
const MIN_DELAY_MS: f64 = 0.2;
/// Assumed size of a hello or a rejection.
const HELLO_BYTES: u64 = 60;

#[derive(Clone)]
enum Packet {
    Hello(Hello),
    /// A hello was rejected. Sent in the reverse direction.
    Rejected(LinkRejection),
    Frame(Incarnation, Vec<u8>),
}

struct InFlight {
    from: usize,
    to: usize,
    packet: Packet,
}

struct Received {
    from: usize,
    packet: Packet,
}

/// Advice and when it was given, by the network's clock.
pub struct TimedAdvice {
    #[allow(dead_code)] // kept for debugging
    pub at_ms: f64,
    pub advice: Advice,
}

pub struct Process {
    pub node: Option<Node>,
    clock_offset_ms: f64,
    stalled_until_ms: f64,
    /// What arrived while the process was stalled.
    backlog: Vec<Received>,
    /// Number of starts, for the seed of the next one.
    starts: u64,
    pub advice: Vec<TimedAdvice>,
    /// The peers whose hello was accepted: only they have a link to this process.
    linked: BTreeMap<usize, Incarnation>,
}

pub struct Net {
    pub now_ms: f64,
    pub rng: Rand64,
    pub processes: Vec<Process>,
    names: Vec<String>,
    seed: u64,
    /// Arrival time in microseconds and sequence number of the packets in flight.
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    in_flight: BTreeMap<u64, InFlight>,
    sequence: u64,
    /// Whether the path from one process to another is cut.
    pub cut: Vec<Vec<bool>>,
    /// Share of packets that are lost.
    pub loss: f64,
    pub max_delay_ms: f64,
    pub packets: u64,
    pub bytes: u64,
    next_hello_ms: f64,
}

impl Net {
    pub fn new(n: usize, seed: u64) -> Self {
        let names: Vec<String> = (1..=n).map(|i| format!("m{i}")).collect();
        let mut rng = Rand64::new(u128::from(seed));
        let mut process = |_| Process {
            node: None,
            clock_offset_ms: (rng.rand_float() * 1e7).floor(),
            stalled_until_ms: 0.0,
            backlog: Vec::new(),
            starts: 0,
            advice: Vec::new(),
            linked: BTreeMap::new(),
        };
        let processes = (0..n).map(&mut process).collect();
        let mut net = Self {
            now_ms: 0.0,
            rng,
            processes,
            names,
            seed,
            arrivals: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            cut: vec![vec![false; n]; n],
            loss: 0.0,
            max_delay_ms: 5.0,
            packets: 0,
            bytes: 0,
            next_hello_ms: 0.0,
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    pub fn start(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.starts += 1;
        let seed = self.seed.wrapping_mul(7919).wrapping_add((i as u64) << 20).wrapping_add(process.starts);
        process.node = Some(Node::new("fleet", &self.names[i], &self.names, seed));
        process.backlog.clear();
        process.linked.clear();
    }

    pub fn kill(&mut self, i: usize) {
        self.processes[i].node = None;
        self.processes[i].backlog.clear();
        self.processes.iter_mut().for_each(|process| process.linked.retain(|from, _| *from != i));
    }

    pub fn stall(&mut self, i: usize, duration_ms: f64) {
        self.processes[i].stalled_until_ms = self.now_ms + duration_ms;
    }

    pub fn heal(&mut self) {
        self.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        self.loss = 0.0;
    }

    /// Cuts every path between the two groups.
    pub fn partition(&mut self, group: impl Fn(usize) -> bool) {
        let n = self.processes.len();
        for a in 0..n {
            for b in 0..n {
                self.cut[a][b] |= group(a) != group(b);
            }
        }
    }

    /// The time by the clock of a process.
    pub fn local_time_ms(&self, i: usize) -> f64 {
        self.processes[i].clock_offset_ms + self.now_ms
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        if self.cut[from][to] || self.rng.rand_float() < self.loss {
            return;
        }
        let arrives_ms = self.now_ms + MIN_DELAY_MS + self.rng.rand_float() * self.max_delay_ms;
        self.sequence += 1;
        self.packets += 1;
        self.bytes += match &packet {
            Packet::Frame(_, bytes) => bytes.len() as u64,
            Packet::Hello(_) | Packet::Rejected(_) => HELLO_BYTES,
        };
        self.in_flight.insert(self.sequence, InFlight { from, to, packet });
        self.arrivals.push(Reverse(((arrives_ms * 1000.0) as u64, self.sequence)));
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    fn apply_output(&mut self, i: usize, output: Vec<NodeOutput>) {
        for action in output {
            match action {
                NodeOutput::Send { to, frame } => {
                    let Some((to, node)) = self.index(&to).zip(self.processes[i].node.as_ref()) else {
                        continue;
                    };
                    let incarnation = node.membership.incarnation();
                    self.send(i, to, Packet::Frame(incarnation, frame.encode()));
                }
                NodeOutput::SendHello { to } => {
                    let now_ms = self.local_time_ms(i);
                    let Some((to, node)) = self.index(&to).zip(self.processes[i].node.as_mut()) else {
                        continue;
                    };
                    let hello = node.membership.hello_to(now_ms, &self.names[to]);
                    self.send(i, to, Packet::Hello(hello));
                }
                NodeOutput::Advice(advice) => {
                    let at_ms = self.now_ms;
                    self.processes[i].advice.push(TimedAdvice { at_ms, advice });
                }
                NodeOutput::CloseSupersededLinks { name, by } => {
                    if let Some(peer) = self.index(&name)
                        && self.processes[i].linked.get(&peer).is_some_and(|held| *held < by.incarnation)
                    {
                        self.processes[i].linked.remove(&peer);
                        self.send(i, peer, Packet::Rejected(LinkRejection::Superseded(by)));
                    }
                }
                NodeOutput::ReopenLink { .. } | NodeOutput::Log(_) => {}
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, packet: Packet) {
        let now_ms = self.local_time_ms(to);
        let linked = self.processes[to].linked.get(&from).copied();
        let Some(node) = self.processes[to].node.as_mut() else { return };
        match packet {
            Packet::Hello(hello) => match node.handle_hello(now_ms, &hello) {
                Ok(()) => drop(self.processes[to].linked.insert(from, hello.incarnation)),
                Err(rejection) => self.send(to, from, Packet::Rejected(rejection)),
            },
            Packet::Rejected(rejection) => node.link_rejected(now_ms, &rejection),
            // Frames count only on a link whose hello was accepted.
            Packet::Frame(incarnation, bytes) if linked == Some(incarnation) => {
                if let Ok(Some((frame, _))) = Frame::decode(&bytes) {
                    let name = self.names[from].clone();
                    let output = node.handle_frame(now_ms, &name, incarnation, frame);
                    self.apply_output(to, output);
                }
            }
            Packet::Frame(..) => {}
        }
        self.tick(to);
    }

    fn tick(&mut self, i: usize) {
        let now_ms = self.local_time_ms(i);
        let Some(node) = self.processes[i].node.as_mut() else { return };
        let output = node.tick(now_ms);
        self.apply_output(i, output);
    }

    pub fn run(&mut self, duration_ms: f64) {
        const STEP_MS: f64 = 10.0;
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            let until_ms = (self.now_ms + STEP_MS).min(end_ms);
            self.deliver_until(until_ms);
            self.now_ms = until_ms;
            // Missing links are opened again from time to time, as the I/O layer does.
            let opens_links = self.now_ms >= self.next_hello_ms;
            self.next_hello_ms =
                if opens_links { self.now_ms + HELLO_INTERVAL_MS } else { self.next_hello_ms };
            for i in 0..self.processes.len() {
                if self.processes[i].stalled_until_ms > self.now_ms || self.processes[i].node.is_none() {
                    continue;
                }
                self.run_turn(i, opens_links);
            }
        }
    }

    fn deliver_until(&mut self, until_ms: f64) {
        while let Some(Reverse((arrives_us, sequence))) = self.arrivals.peek().copied()
            && arrives_us as f64 / 1000.0 <= until_ms
        {
            self.arrivals.pop();
            self.now_ms = self.now_ms.max(arrives_us as f64 / 1000.0);
            let Some(InFlight { from, to, packet }) = self.in_flight.remove(&sequence) else { continue };
            if self.processes[to].stalled_until_ms > self.now_ms {
                self.processes[to].backlog.push(Received { from, packet });
            } else {
                self.receive(from, to, packet);
            }
        }
    }

    fn run_turn(&mut self, i: usize, opens_links: bool) {
        let now_ms = self.local_time_ms(i);
        if let Some(node) = &mut self.processes[i].node {
            node.begin_turn(now_ms);
        }
        for Received { from, packet } in std::mem::take(&mut self.processes[i].backlog) {
            self.receive(from, i, packet);
        }
        if opens_links {
            for to in (0..self.processes.len()).filter(|to| *to != i) {
                let own = self.processes[i].node.as_ref().map(|node| node.membership.incarnation());
                let linked =
                    self.processes[to].node.is_some() && self.processes[to].linked.get(&i) == own.as_ref();
                if !linked {
                    self.apply_output(i, vec![NodeOutput::SendHello { to: self.names[to].clone() }]);
                }
            }
        }
        self.tick(i);
    }

    /// A mixer marks a searcher, or retracts the mark.
    pub fn mark(&mut self, i: usize, searcher: u16, marked: bool) {
        let now_ms = self.local_time_ms(i);
        if let Some(node) = self.processes[i].node.as_mut() {
            let status = LocalStatus { marked, late: false, started_at_ms: 1.0, stage: Stage::Up };
            let report = LocalReport::Searcher {
                address: format!("127.0.0.1:{}", 7000 + searcher).parse().expect("an address"),
                status: Some(status),
                cold: false,
                latency_ratio: 5.0,
                parts: 3,
            };
            let output = node.publish(now_ms, report);
            self.apply_output(i, output.into_iter().collect());
        }
    }

    /// Whether all running mixers hold the same records, and see exactly the others as up.
    pub fn has_converged(&self) -> bool {
        let running: Vec<&Node> = self.processes.iter().filter_map(|process| process.node.as_ref()).collect();
        let digests: Vec<u64> = running.iter().map(|node| node.exchange.replica.digest()).collect();
        running.iter().all(|node| node.membership.up().len() + 1 == running.len())
            && digests.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Runs until all mixers have converged. Returns how long that took, or `None` after the timeout.
    pub fn run_until_converged(&mut self, timeout_ms: f64) -> Option<f64> {
        let began_ms = self.now_ms;
        while self.now_ms - began_ms < timeout_ms {
            if self.has_converged() {
                return Some(self.now_ms - began_ms);
            }
            self.run(50.0);
        }
        None
    }
}
