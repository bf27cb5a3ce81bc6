//! One decision module per mixer: each is handed its own events and nothing else.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use pewterwharf::interface::{DecisionModule, Event, ListedSearcher};
use pewterwharf::logic::Mixer;
use pewterwharf_terms::MixerConfig;

use crate::codec::{Batch, Knock, Record, Reply};

/// The mixers of this process, and the numbered lists that the wire shares among them.
#[derive(Default)]
pub struct Host {
    /// With the place of the busy share in a load report.
    mixers: BTreeMap<u32, (Mixer, Option<usize>)>,
    lists: BTreeMap<u32, Vec<ListedSearcher>>,
}

impl Host {
    /// Plays one batch to all whom it concerns.
    pub fn batch(&mut self, batch: Batch) -> Result<Reply> {
        let mut heard: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
        let mut at = None;
        for record in batch.records {
            match record {
                Record::At(mixer) => at = Some(mixer),
                Record::Table { slot, lines } => {
                    self.lists.insert(slot, lines);
                }
                other => {
                    let mixer = at.context("a record stands before the first 'at'")?;
                    self.record(mixer, other, &mut heard)?;
                }
            }
        }
        let mut reply = Reply::to(batch.number);
        for (mixer, events) in heard {
            if let Some((module, _)) = self.mixers.get_mut(&mixer) {
                reply.actions(mixer, &module.handle_events(batch.now, events));
            }
        }
        Ok(reply)
    }

    fn record(&mut self, mixer: u32, record: Record, heard: &mut BTreeMap<u32, Vec<Event>>) -> Result<()> {
        let event = match record {
            Record::Create { seed, settings } => {
                let terms = MixerConfig::from_text(&settings).context("settings")?;
                self.mixers.insert(mixer, (terms.open(seed), terms.load_share_index));
                heard.insert(mixer, Vec::new());
                return Ok(());
            }
            Record::Exit => {
                self.mixers.remove(&mixer);
                heard.remove(&mixer);
                return Ok(());
            }
            Record::PeersKnown { kind, slot } => {
                Event::List { kind, searchers: self.lists.get(&slot).cloned().unwrap_or_default() }
            }
            Record::Knock(knock) => knocked(&knock),
            Record::Settled { part, dispatch, searcher, ending, took_ms, report } => {
                let at = self.mixers.get(&mixer).and_then(|m| m.1);
                let busy = at.and_then(|at| report.get(at)).map(|share| f64::from(*share));
                Event::DispatchEnded { part, dispatch, searcher, outcome: ending, took_ms, busy }
            }
            Record::TimedOutClient { scan } => Event::ClientGone { scan },
            Record::Pong { searcher, took_ms, ending } => {
                Event::ProbeEnded { searcher, outcome: ending, took_ms }
            }
            Record::Wakeup => Event::Wake,
            // Streams and talk among mixers have no part in scans.
            Record::Begun | Record::Datagram => return Ok(()),
            Record::At(_) | Record::Table { .. } => return Ok(()),
        };
        heard.entry(mixer).or_default().push(event);
        Ok(())
    }
}

fn knocked(knock: &Knock) -> Event {
    let number = knock.number as u32;
    if knock.slab >= 0.0 {
        let weight = f64::from(knock.measure);
        return Event::Part { id: knock.id, number, shard: knock.slab as u32, weight };
    }
    Event::Scan {
        id: knock.id,
        number,
        table_type: usize::from(knock.table_type),
        customer: knock.customer as usize,
        deadline_at: knock.gone_at,
        work_ms: (knock.flags & 1 != 0).then_some(knock.work_ms),
        retry: knock.flags & 2 != 0,
    }
}
