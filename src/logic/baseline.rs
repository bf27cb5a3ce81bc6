//! Baseline: the latency and work of parts that are normal at present, by table type, and the averages of the
//! zones.

use std::rc::Rc;

use crate::state::{
    Baseline, BaselineTracker, Message, Mixer, RelativeLatency, SearcherIndex, SearcherMonitor, Turn,
    TypeIndex, median,
};

impl BaselineTracker {
    /// A searcher is marked when the mean latency ratio of its slice exceeds the median of all searchers by
    /// this factor. The ShortTail paper says "about three".
    pub(super) const MARK_MULTIPLE: f64 = 3.0;
    /// Least weight of a new part in a table type's baseline latency. With it, the baseline covers a few
    /// hundred parts, or some seconds.
    const LATENCY_WEIGHT: f64 = 0.01;
    /// After this many samples, a latency is clipped at `MARK_MULTIPLE` times the baseline.
    const UNCLIPPED_SAMPLES: f64 = 10.0;
    /// Smallest relative step of the work estimate. It is so small that congestion moves the estimate only
    /// over hundreds of parts.
    const MIN_WORK_STEP: f64 = 0.002;
    /// First relative step of the work estimate. It is so large that the estimate converges within tens of
    /// parts.
    const FIRST_WORK_STEP: f64 = 0.05;
    /// A part that is faster than the work estimate lowers it by this many steps, a slower one raises it by
    /// one step. Both balance where a quarter of the parts are faster, which is where the estimate settles.
    const WORK_STEPS_DOWN: f64 = 3.0;
    /// Weight of a new sample in the averages that cover about the last ten samples.
    pub(super) const LAST_TEN_WEIGHT: f64 = 0.1;

    pub(crate) fn receive(&mut self, message: Message, turn: &mut Turn) {
        match message {
            Message::LatencySample { table_type, latency_ms } => self.record_latency(table_type, latency_ms),
            Message::SliceEnded { searcher, mean_ratio } => self.record_slice(searcher, mean_ratio),
            Message::ZoneSample { zone, latency } => {
                let average = self.zones.entry(zone).or_insert(RelativeLatency::NORMAL);
                *average = average.toward(latency, Self::LAST_TEN_WEIGHT);
            }
            Message::Tick => {
                self.decay_zones();
                self.publish(turn);
            }
            _ => {}
        }
    }

    fn record_latency(&mut self, table_type: TypeIndex, latency_ms: f64) {
        let estimate = &mut self.types[table_type];
        estimate.samples += 1.0;
        let clipped_ms = if estimate.samples > Self::UNCLIPPED_SAMPLES {
            latency_ms.min(Self::MARK_MULTIPLE * estimate.latency_ms)
        } else {
            latency_ms
        };
        let weight = (1.0 / estimate.samples).max(Self::LATENCY_WEIGHT);
        estimate.latency_ms += weight * (clipped_ms - estimate.latency_ms);
        let step = (1.0 / estimate.samples).clamp(Self::MIN_WORK_STEP, Self::FIRST_WORK_STEP);
        estimate.work_ms *=
            if latency_ms > estimate.work_ms { 1.0 + step } else { 1.0 - Self::WORK_STEPS_DOWN * step };
    }

    /// Updates the median that searchers are compared with. If all searchers are slow, the median rises and
    /// none is marked.
    fn record_slice(&mut self, searcher: SearcherIndex, mean_ratio: f64) {
        self.slice_means.insert(searcher, mean_ratio);
        let means = self.slice_means.values().copied();
        self.median_slice_mean = median(means, SearcherMonitor::MIN_SLICE_PARTS as usize).unwrap_or(1.0);
    }

    fn decay_zones(&mut self) {
        for latency in self.zones.values_mut() {
            *latency = latency.decayed(RelativeLatency::NORMAL, Mixer::TICK_MS, self.decay_ms);
        }
    }

    fn publish(&self, turn: &mut Turn) {
        let baseline = Rc::new(Baseline {
            latency_ms: self.types.iter().map(|estimate| estimate.latency_ms.max(1.0)).collect(),
            work_ms: self.types.iter().map(|estimate| estimate.work_ms).collect(),
            // A median under one means that the baseline latencies are not learned yet.
            mark_ratio: Self::MARK_MULTIPLE * self.median_slice_mean.max(1.0),
            zones: self.zones.clone(),
            decay_ms: self.decay_ms,
        });
        turn.send_to_tick_subscribers(|| Message::BaselineChanged(baseline.clone()));
    }
}
