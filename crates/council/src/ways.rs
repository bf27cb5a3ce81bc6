//! Ways between members where the direct one carries nothing: by a third, or by several.
//!
//! Each member tells the others, again and again, whom it hears, and what it was told of that by others. So each knows which
//! ways carry, in which direction, and sends by the shortest that does. Guards against a cut in which each sees other
//! neighbours: agreement stands still there once its leader dies, though every member reaches every other by some way.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Member;

/// Whom one hears is told this often, in milliseconds.
const TELL_MS: f64 = 100.0;
/// One that was not heard for so long is not heard: some tellings may be lost.
const DEAF_MS: f64 = 450.0;
/// What one said of whom it hears counts for so long.
const STALE_MS: f64 = 1000.0;
/// Members of a council at most, with those that come and go.
const MOST: usize = 16;

/// Whom a member hears, as it said itself; the number grows with each time that it does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hears {
    pub member: Member,
    /// Of the member's process; differs between its starts.
    pub start: u64,
    pub number: u64,
    pub hears: Vec<Member>,
    /// How long ago it was said, where that is told on, in milliseconds.
    pub age_ms: u32,
}

/// What goes from one member to another on a direct way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Parcel {
    /// Who hears whom, as far as the sender knows.
    Ways(Vec<Hears>),
    /// A word for a member, to be sent on by whoever it is not for.
    Word { to: Member, bytes: Vec<u8>, left: u8 },
}

/// What a parcel that came is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    Nothing,
    /// A word for this member.
    Word(Vec<u8>),
    /// To be sent to that member on the direct way.
    On(Member, Parcel),
}

#[derive(Clone, Debug)]
struct Said {
    start: u64,
    number: u64,
    hears: BTreeSet<Member>,
    /// When it was said, by this member's clock.
    at: f64,
}

/// The ways that one member knows.
#[derive(Clone, Debug)]
pub struct Ways {
    me: Member,
    start: u64,
    number: u64,
    members: BTreeSet<Member>,
    /// When each was heard last on its direct way.
    heard: BTreeMap<Member, f64>,
    said: BTreeMap<Member, Said>,
    tell_at: f64,
}

impl Ways {
    /// `start` differs between the starts of one member.
    pub fn new(me: Member, members: impl IntoIterator<Item = Member>, start: u64) -> Self {
        let mut ways = Self {
            me,
            start,
            number: 0,
            members: BTreeSet::new(),
            heard: BTreeMap::new(),
            said: BTreeMap::new(),
            tell_at: 0.0,
        };
        ways.members(members);
        ways
    }

    /// Those that are members from now on.
    pub fn members(&mut self, members: impl IntoIterator<Item = Member>) {
        self.members = members.into_iter().filter(|m| *m != self.me).take(MOST).collect();
        self.heard.retain(|member, _| self.members.contains(member));
        self.said.retain(|member, _| self.members.contains(member));
    }

    /// What is to be said to each of the others on its direct way, if it is time.
    pub fn tick(&mut self, now: f64) -> Option<Parcel> {
        if now < self.tell_at {
            return None;
        }
        self.tell_at = now + TELL_MS;
        self.number += 1;
        let hears = self.hears(now).collect();
        let own = Hears { member: self.me, start: self.start, number: self.number, hears, age_ms: 0 };
        let others =
            self.said.iter().filter(|(_, said)| now - said.at <= STALE_MS).map(|(member, said)| Hears {
                member: *member,
                start: said.start,
                number: said.number,
                hears: said.hears.iter().copied().collect(),
                age_ms: (now - said.at).max(0.0) as u32,
            });
        Some(Parcel::Ways(std::iter::once(own).chain(others).collect()))
    }

    fn hears(&self, now: f64) -> impl Iterator<Item = Member> {
        self.heard.iter().filter(move |(_, at)| now - **at <= DEAF_MS).map(|(member, _)| *member)
    }

    /// Takes what came on the direct way from a member.
    pub fn came(&mut self, now: f64, from: Member, parcel: Parcel) -> Came {
        if !self.members.contains(&from) {
            return Came::Nothing;
        }
        self.heard.insert(from, now);
        match parcel {
            Parcel::Ways(all) => {
                for one in all.into_iter().take(MOST + 1) {
                    self.learn(now, one);
                }
                Came::Nothing
            }
            Parcel::Word { to, bytes, .. } if to == self.me => Came::Word(bytes),
            Parcel::Word { to, bytes, left } => {
                let next = left.checked_sub(1).and_then(|left| Some((self.next(now, to)?, left)));
                next.map_or(Came::Nothing, |(next, left)| Came::On(next, Parcel::Word { to, bytes, left }))
            }
        }
    }

    fn learn(&mut self, now: f64, one: Hears) {
        if !self.members.contains(&one.member) || one.hears.len() > MOST {
            return;
        }
        let at = now - f64::from(one.age_ms);
        let newer = |held: &Said| match held.start == one.start {
            true => held.number < one.number,
            // Of two starts the later word; the earlier process says nothing any more.
            false => held.at < at,
        };
        if self.said.get(&one.member).is_none_or(newer) {
            let hears = one.hears.into_iter().collect();
            self.said.insert(one.member, Said { start: one.start, number: one.number, hears, at });
        }
    }

    /// The word on its way: to whom it goes on the direct way first. Where no way is known the direct one is tried.
    pub fn send(&self, now: f64, to: Member, bytes: Vec<u8>) -> (Member, Parcel) {
        let next = self.next(now, to).unwrap_or(to);
        (next, Parcel::Word { to, bytes, left: self.members.len() as u8 })
    }

    /// The first step of the shortest way that carries.
    fn next(&self, now: f64, to: Member) -> Option<Member> {
        let fresh = |member: &Member| self.said.get(member).filter(|said| now - said.at <= STALE_MS);
        let hears = |who: Member, whom: Member| fresh(&who).is_some_and(|said| said.hears.contains(&whom));
        let mut seen = BTreeSet::from([self.me]);
        let mut ends: VecDeque<(Member, Member)> = VecDeque::new();
        for first in self.members.iter().copied().filter(|first| hears(*first, self.me)) {
            seen.insert(first);
            ends.push_back((first, first));
        }
        while let Some((first, end)) = ends.pop_front() {
            if end == to {
                return Some(first);
            }
            for next in self.members.iter().copied().filter(|next| hears(*next, end)) {
                if seen.insert(next) {
                    ends.push_back((first, next));
                }
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Members 1 to n, told of each other on ways that carry, for some rounds.
    fn told(n: u64, carries: impl Fn(Member, Member) -> bool, rounds: u32) -> (Vec<Ways>, f64) {
        let mut all: Vec<Ways> = (1..=n).map(|me| Ways::new(me, 1..=n, me)).collect();
        let mut now = 0.0;
        for _ in 0..rounds {
            let parcels: Vec<Option<Parcel>> = all.iter_mut().map(|w| w.tick(now)).collect();
            for (from, parcel) in (1..=n).zip(parcels) {
                for to in (1..=n).filter(|to| *to != from && carries(from, *to)) {
                    if let Some(parcel) = parcel.clone() {
                        assert_eq!(all[to as usize - 1].came(now, from, parcel), Came::Nothing);
                    }
                }
            }
            now += TELL_MS;
        }
        (all, now)
    }

    /// The members by which a word goes.
    fn way(all: &mut [Ways], now: f64, from: Member, to: Member) -> Vec<Member> {
        let (mut next, mut parcel) = all[from as usize - 1].send(now, to, vec![7]);
        let (mut last, mut way) = (from, vec![next]);
        while let Came::On(on, further) = all[next as usize - 1].came(now, last, parcel) {
            (last, next, parcel) = (next, on, further);
            way.push(next);
        }
        way
    }

    #[test]
    fn the_shortest_way_that_carries_is_taken() {
        let (mut all, now) = told(3, |_, _| true, 3);
        assert_eq!(way(&mut all, now, 1, 3), [3]);
        // One way only is cut: the way back stays direct.
        let (mut all, now) = told(3, |a, b| (a, b) != (1, 3), 5);
        assert_eq!(way(&mut all, now, 1, 3), [2, 3]);
        assert_eq!(way(&mut all, now, 3, 1), [1]);
        // A ring of seven, which carries in one direction: all the way round.
        let (mut all, now) = told(7, |a, b| b == a % 7 + 1, 20);
        assert_eq!(way(&mut all, now, 1, 7), [2, 3, 4, 5, 6, 7]);
        assert_eq!(way(&mut all, now, 7, 1), [1]);
    }

    #[test]
    fn what_is_stale_is_no_way_and_strangers_are_passed_over() {
        let (mut all, now) = told(3, |a, b| (a, b) != (1, 3), 5);
        let late = now + STALE_MS + DEAF_MS;
        assert_eq!(all[0].send(late, 3, Vec::new()).0, 3, "nothing is known: the direct way is tried");
        assert_eq!(all[0].came(late, 9, Parcel::Word { to: 1, bytes: vec![1], left: 3 }), Came::Nothing);
        let forged = Hears { member: 9, start: 1, number: 1, hears: vec![1], age_ms: 0 };
        all[0].came(late, 2, Parcel::Ways(vec![forged]));
        assert!(!all[0].said.contains_key(&9));
    }

    #[test]
    fn a_word_that_goes_round_comes_to_an_end() {
        let mut one = Ways::new(1, 1..=3, 1);
        let lie = |member, hears| Hears { member, start: 1, number: 1, hears, age_ms: 0 };
        one.came(0.0, 2, Parcel::Ways(vec![lie(2, vec![1, 3]), lie(3, vec![2])]));
        let word = |left| Parcel::Word { to: 3, bytes: vec![1], left };
        assert_eq!(one.came(0.0, 2, word(1)), Came::On(2, word(0)));
        assert_eq!(one.came(0.0, 2, word(0)), Came::Nothing);
    }
}
