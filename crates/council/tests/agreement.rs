//! Members of a council on a seeded network with seeded disks: cuts in one direction and both, loss, stalls, crashes in the
//! midst of a write, writes that fail, lost files. Whatever was carried out anywhere stays, in its order, everywhere.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use oorandom::Rand64;
use pewterwharf_council::{Came, Change, Council, Disk, Fault, Kept, Machine, Member, Parcel, Terms, Ways};
use serde::{Deserialize, Serialize};

/// Remembers all that it was told, in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Told(Vec<u64>);

impl Machine for Told {
    type Order = u64;

    fn carry_out(&mut self, order: &u64) {
        self.0.push(*order);
    }
}

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Wrong {
    #[default]
    Nothing,
    /// The next write is not made, and says so.
    Fails,
    /// The process dies before the next write is made, or after.
    Crash { made: bool },
    /// Planted: it says that it has written, and has not. Every council rests on disks that do not.
    Lies,
}

#[derive(Debug, Default)]
struct Platter {
    kept: Kept,
    wrong: Wrong,
    crashed: bool,
}

#[derive(Clone, Debug, Default)]
struct Seeded(Rc<RefCell<Platter>>);

impl Disk for Seeded {
    fn keep(&mut self, changes: &[Change]) -> Result<(), Fault> {
        let mut platter = self.0.borrow_mut();
        let failed = || Err(Fault::Failed("planted".to_owned()));
        match platter.wrong {
            Wrong::Lies => return Ok(()),
            Wrong::Fails => return failed(),
            Wrong::Crash { made: false } => {
                platter.crashed = true;
                return failed();
            }
            _ => {}
        }
        changes.iter().for_each(|change| platter.kept.change(change));
        if platter.wrong == (Wrong::Crash { made: true }) {
            platter.crashed = true;
            return failed();
        }
        Ok(())
    }
}

struct Process {
    disk: Seeded,
    council: Option<Council<Told, Seeded>>,
    ways: Ways,
    stalled_until: u64,
    waiting: Vec<(usize, Parcel)>,
}

struct Net {
    members: Vec<Member>,
    processes: Vec<Process>,
    carries: Vec<Vec<bool>>,
    on_way: BTreeMap<(u64, u64), (usize, usize, Parcel)>,
    /// Links keep the order of words.
    last: BTreeMap<(usize, usize), u64>,
    order: u64,
    now: u64,
    loss: f64,
    next: u64,
    chance: Rand64,
    /// The longest that anybody has carried out, against which all others are held at all times.
    longest: Vec<u64>,
    fault: Option<String>,
}

impl Net {
    fn new(n: usize, seed: u64) -> Self {
        let members: Vec<Member> = (1..=n as u64).map(|m| m * 11).collect();
        let process = |i: usize| Process {
            disk: Seeded::default(),
            council: None,
            ways: Ways::new(members[i], members.iter().copied(), 0),
            stalled_until: 0,
            waiting: Vec::new(),
        };
        let processes = (0..n).map(process).collect();
        let mut net = Self {
            processes,
            members,
            carries: vec![vec![true; n]; n],
            on_way: BTreeMap::new(),
            last: BTreeMap::new(),
            order: 0,
            now: 0,
            loss: 0.0,
            next: 1,
            chance: Rand64::new(u128::from(seed) ^ 0xc0_0c11),
            longest: Vec::new(),
            fault: None,
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    fn n(&self) -> usize {
        self.members.len()
    }

    fn pick(&mut self) -> usize {
        self.chance.rand_range(0..self.members.len() as u64) as usize
    }

    fn start(&mut self, i: usize) {
        let (terms, disk) = (
            Terms { me: self.members[i], members: self.members.clone(), seed: self.chance.rand_u64() },
            self.processes[i].disk.clone(),
        );
        {
            let mut platter = disk.0.borrow_mut();
            platter.crashed = false;
            if platter.wrong != Wrong::Lies {
                platter.wrong = Wrong::Nothing;
            }
        }
        let kept = disk.0.borrow().kept.clone();
        let council = Council::new(&terms, &kept, disk).expect("what was kept can be read");
        self.processes[i].council = Some(council);
        self.processes[i].waiting.clear();
        let start = self.chance.rand_u64();
        self.processes[i].ways = Ways::new(self.members[i], self.members.iter().copied(), start);
    }

    fn set(&mut self, carries: Vec<Vec<bool>>) {
        self.carries = carries;
    }

    fn heal(&mut self) {
        let n = self.n();
        self.loss = 0.0;
        self.set(vec![vec![true; n]; n]);
    }

    fn part(&mut self, side: impl Fn(usize) -> bool) {
        let n = self.n();
        self.set((0..n).map(|a| (0..n).map(|b| side(a) == side(b)).collect()).collect());
    }

    fn kill(&mut self, i: usize) {
        self.processes[i].council = None;
    }

    fn after(&mut self, i: usize) {
        let Some(council) = self.processes[i].council.as_mut() else { return };
        let words = council.words();
        // Held against the longest before the crash, too: what was carried out is known outside by then.
        if council.broken().is_none() {
            let told = &council.state().0;
            let both = told.len().min(self.longest.len());
            if told[..both] != self.longest[..both] && self.fault.is_none() {
                let at = (0..both).find(|at| told[*at] != self.longest[*at]);
                self.fault = Some(format!("{} and the others part at entry {at:?}", self.members[i]));
            }
            if told.len() > self.longest.len() {
                self.longest.clone_from(told);
            }
        }
        let crashed = self.processes[i].disk.0.borrow().crashed;
        if crashed {
            self.kill(i);
            return;
        }
        for word in words {
            let (next, parcel) = self.processes[i].ways.send(self.now as f64, word.to, word.bytes);
            self.send(i, next, parcel);
        }
    }

    /// On the direct way.
    fn send(&mut self, from: usize, to: Member, parcel: Parcel) {
        let Some(to) = self.members.iter().position(|m| *m == to) else { return };
        if !self.carries[from][to] || self.chance.rand_float() < self.loss {
            return;
        }
        let at = self.now + 1 + self.chance.rand_range(0..4);
        let last = self.last.entry((from, to)).or_default();
        *last = at.max(*last);
        self.order += 1;
        self.on_way.insert((*last, self.order), (from, to, parcel));
    }

    fn take(&mut self, from: usize, to: usize, parcel: Parcel) {
        let (now, member) = (self.now as f64, self.members[from]);
        let process = &mut self.processes[to];
        let Some(council) = process.council.as_mut() else { return };
        match process.ways.came(now, member, parcel) {
            Came::Nothing => {}
            Came::Word(bytes) => {
                council.heard(&bytes);
                self.after(to);
            }
            Came::On(next, parcel) => self.send(to, next, parcel),
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            while let Some(((at, _), _)) = self.on_way.first_key_value()
                && *at <= self.now
            {
                let Some((_, (from, to, parcel))) = self.on_way.pop_first() else { break };
                let process = &mut self.processes[to];
                if process.stalled_until > self.now {
                    process.waiting.push((from, parcel));
                } else {
                    self.take(from, to, parcel);
                }
            }
            for i in 0..self.n() {
                if self.processes[i].stalled_until > self.now {
                    continue;
                }
                for (from, parcel) in std::mem::take(&mut self.processes[i].waiting) {
                    self.take(from, i, parcel);
                }
                if self.now.is_multiple_of(20) && self.processes[i].council.is_some() {
                    if let Some(parcel) = self.processes[i].ways.tick(self.now as f64) {
                        for to in self.members.clone() {
                            self.send(i, to, parcel.clone());
                        }
                    }
                    self.processes[i].council.iter_mut().for_each(Council::tick);
                    self.after(i);
                }
            }
            if self.now.is_multiple_of(50) {
                let (i, order) = (self.pick(), self.next);
                self.next += 1;
                let process = &mut self.processes[i];
                if process.stalled_until <= self.now
                    && let Some(council) = process.council.as_mut()
                {
                    let _ = council.order(&order); // where it can't be taken, it comes to nothing
                    self.after(i);
                }
            }
        }
    }

    /// Whether all that run have carried out all that anybody had, and more, within so long.
    fn goes_on(&mut self, most_ms: u64) -> Option<u64> {
        let (began, all) = (self.now, self.longest.len());
        while self.now - began < most_ms {
            self.run(50);
            let on = |p: &Process| p.council.as_ref().is_some_and(|c| c.state().0.len() > all);
            if self.processes.iter().all(on) {
                return Some(self.now - began);
            }
        }
        None
    }
}

/// One seed's day: faults of all kinds, then a heal. How long it took until all went on, or what did not hold.
fn day(seed: u64, planted: Wrong) -> Result<u64, String> {
    let n = 3 + 2 * (seed % 3) as usize;
    let mut net = Net::new(n, seed);
    if planted == Wrong::Lies {
        net.processes[0].disk.0.borrow_mut().wrong = Wrong::Lies;
        net.processes[1].disk.0.borrow_mut().wrong = Wrong::Lies;
    }
    net.run(800);
    for _ in 0..16 {
        let (i, j) = (net.pick(), net.pick());
        match net.chance.rand_range(0..12) {
            0 | 1 => {
                let share = net.chance.rand_float() * 0.5;
                let mut carries = vec![vec![true; n]; n];
                for (a, row) in carries.iter_mut().enumerate() {
                    for (b, way) in row.iter_mut().enumerate() {
                        *way = a == b || net.chance.rand_float() >= share;
                    }
                }
                net.set(carries);
            }
            2 => {
                let side = net.chance.rand_u64();
                net.part(|x| side >> x & 1 == 0);
            }
            3 => net.loss = 0.1,
            4 => net.processes[i].stalled_until = net.now + 200 + net.chance.rand_range(0..3000),
            5 => net.kill(i),
            6 => {
                net.kill(i);
                net.kill(j);
                net.start(i);
            }
            7 => {
                let made = net.chance.rand_float() < 0.5;
                let mut platter = net.processes[i].disk.0.borrow_mut();
                if platter.wrong == Wrong::Nothing {
                    platter.wrong = Wrong::Crash { made };
                }
            }
            8 => {
                let mut platter = net.processes[i].disk.0.borrow_mut();
                if platter.wrong == Wrong::Nothing {
                    platter.wrong = Wrong::Fails;
                }
            }
            9 => net.heal(),
            10 => (0..n).for_each(|x| net.kill(x)),
            _ => {
                for x in 0..n {
                    if net.processes[x].council.is_none() {
                        net.start(x);
                    }
                }
            }
        }
        let ms = 50 + net.chance.rand_range(0..700);
        net.run(ms);
    }
    net.heal();
    for x in 0..n {
        net.processes[x].stalled_until = 0;
        {
            let mut platter = net.processes[x].disk.0.borrow_mut();
            if platter.wrong != Wrong::Lies {
                platter.wrong = Wrong::Nothing;
            }
        }
        let broken = net.processes[x].council.as_ref().is_none_or(|c| c.broken().is_some());
        if broken {
            net.start(x);
        }
    }
    let took = net.goes_on(10_000);
    match (net.fault, took) {
        (Some(fault), _) => Err(fault),
        (None, Some(took)) => Ok(took),
        (None, None) => Err("they do not go on within ten seconds".to_owned()),
    }
}

fn days(seeds: std::ops::Range<u64>) -> u64 {
    let threads = std::thread::available_parallelism().map_or(4, usize::from) as u64;
    let played: Vec<(u64, Result<u64, String>)> = std::thread::scope(|scope| {
        let (from, to) = (seeds.start, seeds.end);
        let play = move |nth| {
            (from..to).filter(|s| s % threads == nth).map(|s| (s, day(s, Wrong::Nothing))).collect::<Vec<_>>()
        };
        let runs: Vec<_> = (0..threads).map(|nth| scope.spawn(move || play(nth))).collect();
        runs.into_iter().flat_map(|run| run.join().expect("no day panics")).collect()
    });
    let bad: Vec<String> =
        played.iter().filter_map(|(s, r)| Some(format!("seed {s}: {}", r.as_ref().err()?))).collect();
    assert!(
        bad.is_empty(),
        "{} of {} days:\n{}",
        bad.len(),
        seeds.end - seeds.start,
        bad[..bad.len().min(5)].join("\n")
    );
    played.into_iter().filter_map(|(_, r)| r.ok()).max().unwrap_or(0)
}

#[test]
fn what_was_carried_out_stays_through_two_thousand_days() {
    let worst = days(0..2000);
    println!("after the heal all go on within {worst} ms at worst");
}

#[test]
#[ignore = "a hundred thousand days take minutes: run once by hand"]
fn what_was_carried_out_stays_through_a_hundred_thousand_days() {
    println!("after the heal all go on within {} ms at worst", days(0..100_000));
}

#[test]
fn disks_that_lie_are_found() {
    // The core itself may see that its log is shorter than what others have heard of it.
    let lies = |seed: u64| std::panic::catch_unwind(|| day(seed, Wrong::Lies)).is_ok_and(|day| day.is_ok());
    let found = (0..200).filter(|seed| !lies(*seed)).count();
    assert!(found > 20, "the checks find nothing: {found} of 200");
    println!("found on {found} of 200 days");
}

#[test]
fn one_that_is_far_behind_is_given_the_state() {
    let mut net = Net::new(3, 7);
    net.run(1000);
    net.kill(2);
    for order in 0..5000u64 {
        for i in 0..2 {
            if net.processes[i].council.as_ref().is_some_and(Council::leads) {
                let _ = net.processes[i].council.as_mut().expect("it runs").order(&(1_000_000 + order));
                net.after(i);
            }
        }
        net.run(2);
    }
    let log = net.processes[0].disk.0.borrow().kept.log.len();
    assert!(log < 2000, "the log stays short: {log}");
    assert!(net.longest.len() > 4000, "{}", net.longest.len());
    net.start(2);
    assert!(net.goes_on(5000).is_some());
    assert_eq!(net.fault, None);
}

#[test]
fn a_failed_write_ends_a_member_s_part_and_nothing_of_that_turn_is_said() {
    let mut net = Net::new(3, 8);
    net.run(1000);
    let leader =
        (0..3).find(|i| net.processes[*i].council.as_ref().is_some_and(Council::leads)).expect("one leads");
    net.processes[leader].disk.0.borrow_mut().wrong = Wrong::Fails;
    let council = net.processes[leader].council.as_mut().expect("it runs");
    council.order(&777_777).expect("it is taken");
    assert_eq!(council.words(), []);
    assert!(council.broken().is_some() && council.order(&777_778).is_err() && council.leader().is_none());
    let before = net.longest.len();
    net.run(3000);
    assert!(net.longest.len() > before, "the others go on without it");
    assert!(!net.longest.contains(&777_777));
    net.start(leader);
    assert!(net.goes_on(5000).is_some(), "and it is back with a new start");
}

#[test]
fn all_killed_and_started_again_keep_what_was_carried_out() {
    let mut net = Net::new(3, 9);
    net.run(2000);
    for _ in 0..5 {
        let before = net.longest.len();
        assert!(before > 0);
        (0..3).for_each(|i| net.kill(i));
        (0..3).for_each(|i| net.start(i));
        assert!(net.goes_on(5000).is_some());
        assert_eq!(net.fault, None);
    }
}

/// Cuts through which every member still reaches every other by some way, and a leader that dies in them.
#[test]
fn through_cuts_that_leave_a_way_by_others_all_go_on() {
    type Carries = fn(usize, usize) -> bool;
    let cuts: [(&str, Carries); 4] = [
        ("each sees two neighbours", |a, b| (a + 1) % 5 == b || (b + 1) % 5 == a),
        ("a ring that carries one way", |a, b| (a + 1) % 5 == b),
        ("two halves and one that sees both", |a, b| a == 4 || b == 4 || a / 2 == b / 2),
        ("a chain", |a, b| a.abs_diff(b) == 1),
    ];
    for (what, carries) in cuts {
        for seed in 0..20 {
            let mut net = Net::new(5, seed);
            net.run(1500);
            net.set((0..5).map(|a| (0..5).map(|b| carries(a, b)).collect()).collect());
            let took = net.goes_on(5000).unwrap_or_else(|| panic!("{what}, seed {seed}: they stand still"));
            assert!(took <= 3000, "{what}, seed {seed}: {took} ms");
        }
    }
    // The ring of cuts with its leader gone leaves a chain of four.
    let mut worst = 0;
    for seed in 0..20 {
        let mut net = Net::new(5, seed);
        net.run(1500);
        net.set((0..5).map(|a| (0..5).map(|b| (a + 1) % 5 == b || (b + 1) % 5 == a).collect()).collect());
        net.run(2000);
        let leads = |p: &Process| p.council.as_ref().is_some_and(Council::leads);
        let leader = net.processes.iter().position(leads).expect("one leads");
        net.kill(leader);
        let (began, all) = (net.now, net.longest.len());
        while net.longest.len() < all + 5 {
            net.run(50);
            assert!(net.now - began < 5000, "seed {seed}: they stand still");
        }
        worst = worst.max(net.now - began);
        assert_eq!(net.fault, None);
    }
    println!("five orders after the leader is gone within {worst} ms at worst");
}
