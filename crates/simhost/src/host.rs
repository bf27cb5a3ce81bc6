//! Runs one decision module per mixer; each module receives its own events and nothing else.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use pewterwharf::interface::{DecisionModule, Event, ListedSearcher};
use pewterwharf::logic::Mixer;
use pewterwharf_terms::MixerConfig;

use crate::codec::{Batch, Record, Reply, ScanOrPart};

/// Flag of [`ScanOrPart`]: the record states the work of the scan.
const FLAG_HAS_WORK: u8 = 1;
/// Flag of [`ScanOrPart`]: the scan is a retry by the client.
const FLAG_IS_RETRY: u8 = 2;

struct HostedMixer {
    module: Mixer,
    /// Index of the CPU load share in a load report.
    load_share_index: Option<usize>,
}

/// The mixers of this process, and the numbered searcher lists that the protocol shares among them.
#[derive(Default)]
pub struct Host {
    mixers: BTreeMap<u32, HostedMixer>,
    lists: BTreeMap<u32, Vec<ListedSearcher>>,
}

impl Host {
    /// Passes the records of a batch to their mixers and collects the mixers' actions.
    ///
    /// # Errors
    /// If a record precedes the first mixer number, or a mixer's settings are invalid.
    pub fn process(&mut self, batch: Batch) -> Result<Reply> {
        let mut events: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
        let mut current_mixer = None;
        for record in batch.records {
            match record {
                Record::ForMixer(mixer) => current_mixer = Some(mixer),
                Record::List { slot, searchers } => {
                    self.lists.insert(slot, searchers);
                }
                other => {
                    let mixer = current_mixer.context("a record precedes the first 'at'")?;
                    self.record(mixer, other, &mut events)?;
                }
            }
        }
        let mut reply = Reply::to(batch.number);
        for (mixer, events) in events {
            if let Some(hosted) = self.mixers.get_mut(&mixer) {
                reply.actions(mixer, &hosted.module.handle_events(batch.now, events));
            }
        }
        Ok(reply)
    }

    /// Starts or stops a mixer, or adds the event of the record to the mixer's events.
    fn record(&mut self, mixer: u32, record: Record, events: &mut BTreeMap<u32, Vec<Event>>) -> Result<()> {
        let event = match record {
            Record::Create { seed, settings } => {
                let config = MixerConfig::from_text(&settings).context("settings")?;
                let load_share_index = config.load_share_index;
                self.mixers.insert(mixer, HostedMixer { module: config.open(seed), load_share_index });
                events.insert(mixer, Vec::new());
                return Ok(());
            }
            Record::Exit => {
                self.mixers.remove(&mixer);
                events.remove(&mixer);
                return Ok(());
            }
            Record::ListUpdate { kind, slot } => {
                Event::List { kind, searchers: self.lists.get(&slot).cloned().unwrap_or_default() }
            }
            Record::ScanOrPart(record) => scan_or_part(&record),
            Record::DispatchEnded { part, dispatch, searcher, outcome, took_ms, load_report } => {
                let index = self.mixers.get(&mixer).and_then(|hosted| hosted.load_share_index);
                let load = index.and_then(|index| load_report.get(index));
                let busy = load.map(|share| f64::from(*share));
                Event::DispatchEnded { part, dispatch, searcher, outcome, took_ms, busy }
            }
            Record::ClientTimedOut { scan } => Event::ClientGone { scan },
            Record::ProbeEnded { searcher, took_ms, outcome } => {
                Event::ProbeEnded { searcher, outcome, took_ms }
            }
            Record::Wake => Event::Wake,
            // The decision module needs neither the start of a dispatch nor datagrams between mixers.
            Record::DispatchStarted | Record::Datagram => return Ok(()),
            Record::ForMixer(_) | Record::List { .. } => return Ok(()),
        };
        events.entry(mixer).or_default().push(event);
        Ok(())
    }
}

fn scan_or_part(record: &ScanOrPart) -> Event {
    let number = record.number as u32;
    if record.shard >= 0.0 {
        let weight = f64::from(record.weight);
        return Event::Part { id: record.id, number, shard: record.shard as u32, weight };
    }
    Event::Scan {
        id: record.id,
        number,
        table_type: usize::from(record.table_type),
        customer: record.customer as usize,
        deadline_at: record.deadline_at,
        work_ms: (record.flags & FLAG_HAS_WORK != 0).then_some(record.work_ms),
        retry: record.flags & FLAG_IS_RETRY != 0,
    }
}
