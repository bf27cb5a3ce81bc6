//! A seeded network of nodes: each way has its delay, loss and order; ways are cut, processes stall, die and come back. The
//! clocks of the nodes stand apart and never step, as the monotonic ones of the processes do.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use oorandom::Rand64;
use pewterwharf_mesh::{Frame, LocalReport, LocalStatus, Node, Out};
use pewterwharf_peers::{Hello, Incarnation};
use pewterwharf_replica::Advice;
use pewterwharf_replica::kinds::Stage;

/// What goes on a way.
#[derive(Clone)]
enum Carried {
    Hello(Hello),
    /// A hello was refused: the reason, on its way back.
    Refused(pewterwharf_peers::Refusal),
    Word(Incarnation, Vec<u8>),
}

pub struct Process {
    pub node: Option<Node>,
    /// How far its clock is off.
    clock: f64,
    stalled_until: f64,
    /// What came while it was stalled.
    waiting: Vec<(usize, Carried)>,
    /// Starts that the nodes of this name had, for the seed of the next.
    starts: u64,
    pub advice: Vec<(f64, Advice)>,
    /// Hellos taken, by whom: a link is there once one is.
    linked: BTreeMap<usize, Incarnation>,
}

pub struct Net {
    pub now: f64,
    pub chance: Rand64,
    pub nodes: Vec<Process>,
    names: Vec<String>,
    seed: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    carried: BTreeMap<u64, (usize, usize, Carried)>,
    order: u64,
    /// Ways that carry nothing.
    pub cut: Vec<Vec<bool>>,
    /// Share of words lost, and longest delay, in milliseconds.
    pub loss: f64,
    pub delay_ms: f64,
    pub words: u64,
    pub bytes: u64,
    greet_at: f64,
}

impl Net {
    pub fn new(n: usize, seed: u64) -> Self {
        let names: Vec<String> = (1..=n).map(|i| format!("m{i}")).collect();
        let mut chance = Rand64::new(u128::from(seed));
        let mut process = |_| Process {
            node: None,
            clock: (chance.rand_float() * 1e7).floor(),
            stalled_until: 0.0,
            waiting: Vec::new(),
            starts: 0,
            advice: Vec::new(),
            linked: BTreeMap::new(),
        };
        let nodes = (0..n).map(&mut process).collect();
        let mut net = Self {
            now: 0.0,
            chance,
            nodes,
            names,
            seed,
            queue: BinaryHeap::new(),
            carried: BTreeMap::new(),
            order: 0,
            cut: vec![vec![false; n]; n],
            loss: 0.0,
            delay_ms: 5.0,
            words: 0,
            bytes: 0,
            greet_at: 0.0,
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    pub fn start(&mut self, i: usize) {
        let process = &mut self.nodes[i];
        process.starts += 1;
        let seed = self.seed.wrapping_mul(7919).wrapping_add((i as u64) << 20).wrapping_add(process.starts);
        process.node = Some(Node::new("fleet", &self.names[i], &self.names, seed));
        process.waiting.clear();
        process.linked.clear();
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].node = None;
        self.nodes[i].waiting.clear();
        self.nodes.iter_mut().for_each(|p| p.linked.retain(|from, _| *from != i));
    }

    pub fn stall(&mut self, i: usize, ms: f64) {
        self.nodes[i].stalled_until = self.now + ms;
    }

    pub fn heal(&mut self) {
        self.cut.iter_mut().flatten().for_each(|c| *c = false);
        self.loss = 0.0;
    }

    /// Cuts every way between the two groups.
    pub fn part(&mut self, of: impl Fn(usize) -> bool) {
        let n = self.nodes.len();
        for a in 0..n {
            for b in 0..n {
                self.cut[a][b] |= of(a) != of(b);
            }
        }
    }

    pub fn time(&self, i: usize) -> f64 {
        self.nodes[i].clock + self.now
    }

    fn put(&mut self, from: usize, to: usize, carried: Carried) {
        if self.cut[from][to] || self.chance.rand_float() < self.loss {
            return;
        }
        let at = self.now + 0.2 + self.chance.rand_float() * self.delay_ms;
        self.order += 1;
        self.words += 1;
        self.bytes += match &carried {
            Carried::Word(_, bytes) => bytes.len() as u64,
            Carried::Hello(_) | Carried::Refused(_) => 60,
        };
        self.carried.insert(self.order, (from, to, carried));
        self.queue.push(Reverse(((at * 1000.0) as u64, self.order)));
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    fn carry(&mut self, i: usize, out: Vec<Out>) {
        for one in out {
            match one {
                Out::Send { to, frame } => {
                    let Some((to, node)) = self.index(&to).zip(self.nodes[i].node.as_ref()) else { continue };
                    let start = node.peers.start();
                    self.put(i, to, Carried::Word(start, frame.bytes()));
                }
                Out::Greet { to } => {
                    let now = self.time(i);
                    let Some((to, node)) = self.index(&to).zip(self.nodes[i].node.as_mut()) else { continue };
                    let hello = node.peers.greeting(now, &self.names[to]);
                    self.put(i, to, Carried::Hello(hello));
                }
                Out::Advice(advice) => {
                    let now = self.now;
                    self.nodes[i].advice.push((now, advice));
                }
                Out::Outdone { name, by } => {
                    if let Some(other) = self.index(&name)
                        && self.nodes[i].linked.get(&other).is_some_and(|s| *s < by.start)
                    {
                        self.nodes[i].linked.remove(&other);
                        self.put(i, other, Carried::Refused(pewterwharf_peers::Refusal::Older(by)));
                    }
                }
                Out::Reopen { .. } | Out::Log(_) => {}
            }
        }
    }

    fn take(&mut self, from: usize, to: usize, carried: Carried) {
        let now = self.time(to);
        let linked = self.nodes[to].linked.get(&from).copied();
        let Some(node) = self.nodes[to].node.as_mut() else { return };
        match carried {
            Carried::Hello(hello) => match node.hello(now, &hello) {
                Ok(()) => drop(self.nodes[to].linked.insert(from, hello.start)),
                Err(why) => self.put(to, from, Carried::Refused(why)),
            },
            Carried::Refused(why) => node.refused(now, &why),
            // Words count on a link only whose hello was taken.
            Carried::Word(start, bytes) if linked == Some(start) => {
                if let Ok(Some((frame, _))) = Frame::read(&bytes) {
                    let name = self.names[from].clone();
                    let out = node.heard(now, &name, start, frame);
                    self.carry(to, out);
                }
            }
            Carried::Word(..) => {}
        }
        self.turn(to);
    }

    fn turn(&mut self, i: usize) {
        let now = self.time(i);
        let Some(node) = self.nodes[i].node.as_mut() else { return };
        let out = node.tick(now);
        self.carry(i, out);
    }

    /// Lets so much time go by.
    pub fn run(&mut self, ms: f64) {
        const STEP: f64 = 10.0;
        let end = self.now + ms;
        while self.now < end {
            let until = (self.now + STEP).min(end);
            while let Some(Reverse((at, order))) = self.queue.peek().copied()
                && at as f64 / 1000.0 <= until
            {
                self.queue.pop();
                self.now = self.now.max(at as f64 / 1000.0);
                let Some((from, to, carried)) = self.carried.remove(&order) else { continue };
                if self.nodes[to].stalled_until > self.now {
                    self.nodes[to].waiting.push((from, carried));
                } else {
                    self.take(from, to, carried);
                }
            }
            self.now = until;
            // Links are begun anew from time to time, as the shell does where one is not open.
            let greets = self.now >= self.greet_at;
            self.greet_at = if greets { self.now + 500.0 } else { self.greet_at };
            for i in 0..self.nodes.len() {
                if self.nodes[i].stalled_until > self.now || self.nodes[i].node.is_none() {
                    continue;
                }
                let now = self.time(i);
                self.nodes[i].node.iter_mut().for_each(|node| node.look(now));
                for (from, carried) in std::mem::take(&mut self.nodes[i].waiting) {
                    self.take(from, i, carried);
                }
                if greets {
                    for to in (0..self.nodes.len()).filter(|to| *to != i) {
                        let linked = self.nodes[to].node.is_some()
                            && self.nodes[to].linked.get(&i)
                                == self.nodes[i].node.as_ref().map(|n| n.peers.start()).as_ref();
                        if !linked {
                            self.carry(i, vec![Out::Greet { to: self.names[to].clone() }]);
                        }
                    }
                }
                self.turn(i);
            }
        }
    }

    /// One mixer says something of a searcher.
    pub fn mark(&mut self, i: usize, searcher: u16, marked: bool) {
        let now = self.time(i);
        if let Some(node) = self.nodes[i].node.as_mut() {
            let own = LocalStatus { marked, late: false, since: 1.0, stage: Stage::Up };
            let at = format!("127.0.0.1:{}", 7000 + searcher).parse().expect("an address");
            let out = node.say(
                now,
                LocalReport::Searcher {
                    address: at,
                    status: Some(own),
                    cold: false,
                    latency_ratio: 5.0,
                    parts: 3,
                },
            );
            self.carry(i, out.into_iter().collect());
        }
    }

    /// Whether all that run hold the same, and see each other and nobody else.
    pub fn agree(&self) -> bool {
        let running: Vec<&Node> = self.nodes.iter().filter_map(|p| p.node.as_ref()).collect();
        let sums: Vec<u64> = running.iter().map(|n| n.exchange.replica.sum()).collect();
        running.iter().all(|n| n.peers.up().len() + 1 == running.len())
            && sums.windows(2).all(|w| w[0] == w[1])
    }

    /// Runs until all agree, so long at most; how long that took.
    pub fn until_agreed(&mut self, most_ms: f64) -> Option<f64> {
        let began = self.now;
        while self.now - began < most_ms {
            if self.agree() {
                return Some(self.now - began);
            }
            self.run(50.0);
        }
        None
    }
}
