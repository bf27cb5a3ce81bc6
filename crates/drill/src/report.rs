//! The report of a drill: violations, results of the expectations, figures and timeline.

use std::fmt::{self, Write};

use serde_json::{Value, json};

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub at_ms: f64,
    /// Name of the mixer or searcher.
    pub who: String,
    pub what: String,
}

/// The result of an expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectationResult {
    pub expect: String,
    pub held: bool,
    /// Milliseconds until it held, or until its time was over.
    pub took_ms: f64,
    /// The state observed last.
    pub seen: String,
}

/// Numbers of scans by outcome, and latency quantiles of the completed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScanSummary {
    /// All that reached a mixer.
    pub asked: usize,
    pub completed: usize,
    pub refused: usize,
    pub abandoned: usize,
    /// Without an answer, as when their mixer was killed.
    pub killed: usize,
    /// Whose connection could not be opened.
    pub unreached: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// How mixers dealt with a searcher that hung.
#[derive(Clone, Debug, PartialEq)]
pub struct HungSearcher {
    pub searcher: String,
    /// Milliseconds from the hang until each mixer marked it, ascending.
    pub marked_ms: Vec<f64>,
    /// Number of parts that it received from then until its return, from all mixers together.
    pub parts: usize,
}

/// An event in the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    pub at_ms: f64,
    pub who: String,
    pub what: String,
}

/// Resources used by a mixer's process that ran to the end of the drill.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessCost {
    pub mixer: String,
    pub cpu_ms: f64,
    pub rss_kib: u64,
}

/// The report of a drill.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub title: String,
    pub seed: u64,
    pub mixers: usize,
    pub violations: Vec<Violation>,
    pub expectations: Vec<ExpectationResult>,
    pub scans: ScanSummary,
    pub hung: Vec<HungSearcher>,
    pub costs: Vec<ProcessCost>,
    pub timeline: Vec<TimelineEntry>,
    pub length_ms: f64,
}

impl Report {
    /// Whether there is no violation and all expectations held.
    pub fn held(&self) -> bool {
        self.violations.is_empty() && self.expectations.iter().all(|m| m.held)
    }

    pub fn json(&self) -> Value {
        let s = &self.scans;
        json!({
            "title": self.title, "seed": self.seed, "held": self.held(), "length_ms": self.length_ms.round(),
            "broken": self.violations.iter().map(|b| json!({"rule": b.rule, "at_ms": b.at_ms.round(), "who": b.who, "what": b.what}))
                .collect::<Vec<_>>(),
            "expects": self.expectations.iter().map(|m| json!({"expect": m.expect, "held": m.held, "took_ms": m.took_ms.round(),
                "seen": m.seen})).collect::<Vec<_>>(),
            "scans": {"asked": s.asked, "completed": s.completed, "refused": s.refused, "abandoned": s.abandoned,
                "killed": s.killed, "unreached": s.unreached, "p50_ms": s.p50_ms, "p99_ms": s.p99_ms},
            "hung": self.hung.iter().map(|h| json!({"searcher": h.searcher, "marked_ms": h.marked_ms, "parts": h.parts}))
                .collect::<Vec<_>>(),
            "costs": self.costs.iter().map(|c| json!({"mixer": c.mixer, "cpu_ms": c.cpu_ms, "rss_kib": c.rss_kib})).collect::<Vec<_>>(),
            "timeline": self.timeline.iter().map(|l| json!({"at_ms": l.at_ms.round(), "who": l.who, "what": l.what}))
                .collect::<Vec<_>>(),
        })
    }

    /// The timeline as an SVG drawing, with a lane for the harness and one for each mixer.
    pub fn svg(&self) -> String {
        const WIDTH: f64 = 1400.0;
        const LEFT: f64 = 60.0;
        const ROW_HEIGHT: f64 = 12.0;
        /// Width of one character at the font size of the entries.
        const CHARACTER_WIDTH: f64 = 6.1;
        const MAX_CHARACTERS: usize = 60;
        let lanes = std::iter::once("rig".to_owned()).chain((1..=self.mixers).map(|m| format!("m{m}")));
        let length = self.length_ms.max(1.0);
        let x = |ms: f64| LEFT + (WIDTH - LEFT - 20.0) * (ms / length).clamp(0.0, 1.0);
        let (mut body, mut top) = (String::new(), 30.0);
        for lane in lanes {
            let colour = if lane == "rig" { "#b00" } else { "#036" };
            let _ =
                writeln!(body, "<line x1=\"0\" y1=\"{top}\" x2=\"{WIDTH}\" y2=\"{top}\" stroke=\"#ccc\"/>");
            let _ = writeln!(body, "<text x=\"8\" y=\"{:.0}\" font-size=\"13\">{lane}</text>", top + 16.0);
            // Each entry goes into the first row where it overlaps no other; `ends` holds the right end of each row.
            let mut ends: Vec<f64> = Vec::new();
            for line in self.timeline.iter().filter(|l| l.who == lane) {
                let what: String = line.what.chars().take(MAX_CHARACTERS).collect();
                let at = x(line.at_ms);
                let width = what.chars().count() as f64 * CHARACTER_WIDTH;
                // A text that would exceed the right border goes to the left of its time.
                let (from, left) =
                    if at + 6.0 + width > WIDTH { (at - 6.0 - width, true) } else { (at - 3.0, false) };
                let row = ends.iter().position(|end| *end < from).unwrap_or(ends.len());
                let until = if left { at + 6.0 } else { at + 8.0 + width };
                match ends.get_mut(row) {
                    Some(end) => *end = until,
                    None => ends.push(until),
                }
                let y = top + 14.0 + ROW_HEIGHT * row as f64;
                let _ = writeln!(
                    body,
                    "<circle cx=\"{at:.1}\" cy=\"{:.1}\" r=\"2\" fill=\"{colour}\"/>",
                    y - 3.0
                );
                let (at, anchor) = if left { (at - 4.0, " text-anchor=\"end\"") } else { (at + 4.0, "") };
                let what = escaped(&what);
                let _ = writeln!(
                    body,
                    "<text x=\"{at:.1}\" y=\"{y:.1}\" fill=\"{colour}\"{anchor}>{what}</text>"
                );
            }
            top += 12.0 + ROW_HEIGHT * ends.len().max(1) as f64;
        }
        let height = top + 18.0;
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" font-family=\"monospace\" \
             font-size=\"10\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"10\" y=\"16\" font-size=\"13\">{}</text>\n",
            escaped(&self.title)
        );
        for second in 0..=(length / 1000.0) as usize {
            let at = x(second as f64 * 1000.0);
            let _ = writeln!(
                svg,
                "<line x1=\"{at:.1}\" y1=\"24\" x2=\"{at:.1}\" y2=\"{height}\" stroke=\"#eee\"/>"
            );
            let _ =
                writeln!(svg, "<text x=\"{at:.1}\" y=\"{:.0}\" fill=\"#999\">{second}s</text>", height - 4.0);
        }
        svg + &body + "</svg>\n"
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.held() { "held" } else { "DID NOT HOLD" };
        writeln!(f, "{}: {verdict} ({:.1} s, seed {})", self.title, self.length_ms / 1000.0, self.seed)?;
        for b in &self.violations {
            writeln!(f, "  broken: {} at {:.1} s by {}: {}", b.rule, b.at_ms / 1000.0, b.who, b.what)?;
        }
        for m in &self.expectations {
            let word = if m.held { "held after" } else { "not within" };
            writeln!(
                f,
                "  {} {word} {:.1} s{}{}",
                m.expect,
                m.took_ms / 1000.0,
                if m.held { "" } else { ": " },
                if m.held { "" } else { &m.seen }
            )?;
        }
        let ScanSummary { asked, completed, refused, abandoned, killed, unreached, p50_ms, p99_ms } =
            self.scans;
        writeln!(
            f,
            "  scans {asked}: completed {completed}, refused {refused}, abandoned {abandoned}, with a killed mixer {killed}, \
             unreached {unreached}; p50 {p50_ms:.0} ms, p99 {p99_ms:.0} ms"
        )?;
        for h in &self.hung {
            let marked: Vec<String> = h.marked_ms.iter().map(|ms| format!("{ms:.0}")).collect();
            writeln!(
                f,
                "  {} hung: marked after {} ms, {} parts sent there",
                h.searcher,
                marked.join(", "),
                h.parts
            )?;
        }
        if !self.costs.is_empty() {
            let n = self.costs.len() as f64;
            let (cpu_ms, rss_kib) =
                self.costs.iter().fold((0.0, 0), |sum, c| (sum.0 + c.cpu_ms, sum.1 + c.rss_kib));
            writeln!(
                f,
                "  each process: {:.0} ms of processor time, {:.0} KiB",
                cpu_ms / n,
                rss_kib as f64 / n
            )?;
        }
        if !self.held() {
            for line in &self.timeline {
                writeln!(f, "  {:>7.2} {:<4} {}", line.at_ms / 1000.0, line.who, line.what)?;
            }
        }
        Ok(())
    }
}
