//! The report of a drill: violations, results of the expectations, figures and timeline.

use std::fmt::{self, Write};

use serde_json::{Value, json};

/// Name of the harness in the timeline.
pub const HARNESS_LANE: &str = "rig";

/// Dimensions of the drawing, in pixels.
const WIDTH: f64 = 1400.0;
const LEFT: f64 = 60.0;
const ROW_HEIGHT: f64 = 12.0;
/// Width of one character at the font size of the entries.
const CHARACTER_WIDTH: f64 = 6.1;
/// Maximum length of an entry's text in the drawing.
const MAX_CHARACTERS: usize = 60;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub at_ms: f64,
    /// Name of the mixer or searcher.
    pub who: String,
    pub what: String,
}

impl Violation {
    fn json(&self) -> Value {
        json!({"rule": self.rule, "at_ms": self.at_ms.round(), "who": self.who, "what": self.what})
    }
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

impl ExpectationResult {
    fn json(&self) -> Value {
        json!({"expect": self.expect, "held": self.held, "took_ms": self.took_ms.round(), "seen": self.seen})
    }
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

/// The reaction of the mixers to a searcher that hung.
#[derive(Clone, Debug, PartialEq)]
pub struct HungSearcher {
    pub searcher: String,
    /// Milliseconds from the hang until each mixer marked it, ascending.
    pub marked_ms: Vec<f64>,
    /// Number of parts that it received from then until its return, from all mixers together.
    pub parts: usize,
}

impl HungSearcher {
    fn json(&self) -> Value {
        json!({"searcher": self.searcher, "marked_ms": self.marked_ms, "parts": self.parts})
    }
}

/// An event in the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    pub at_ms: f64,
    pub who: String,
    pub what: String,
}

impl TimelineEntry {
    fn json(&self) -> Value {
        json!({"at_ms": self.at_ms.round(), "who": self.who, "what": self.what})
    }
}

/// Resources used by a mixer's process that ran to the end of the drill.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessCost {
    pub mixer: String,
    pub cpu_ms: f64,
    pub rss_kib: u64,
}

impl ProcessCost {
    fn json(&self) -> Value {
        json!({"mixer": self.mixer, "cpu_ms": self.cpu_ms, "rss_kib": self.rss_kib})
    }
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
        self.violations.is_empty() && self.expectations.iter().all(|expectation| expectation.held)
    }

    /// The report as JSON. Its keys are an interface and independent of the names of the fields here.
    pub fn json(&self) -> Value {
        let scans = &self.scans;
        json!({
            "title": self.title,
            "seed": self.seed,
            "held": self.held(),
            "length_ms": self.length_ms.round(),
            "broken": self.violations.iter().map(Violation::json).collect::<Vec<_>>(),
            "expects": self.expectations.iter().map(ExpectationResult::json).collect::<Vec<_>>(),
            "scans": {
                "asked": scans.asked,
                "completed": scans.completed,
                "refused": scans.refused,
                "abandoned": scans.abandoned,
                "killed": scans.killed,
                "unreached": scans.unreached,
                "p50_ms": scans.p50_ms,
                "p99_ms": scans.p99_ms,
            },
            "hung": self.hung.iter().map(HungSearcher::json).collect::<Vec<_>>(),
            "costs": self.costs.iter().map(ProcessCost::json).collect::<Vec<_>>(),
            "timeline": self.timeline.iter().map(TimelineEntry::json).collect::<Vec<_>>(),
        })
    }

    /// The timeline as an SVG drawing, with a lane for the harness and one for each mixer.
    pub fn svg(&self) -> String {
        let lanes =
            std::iter::once(HARNESS_LANE.to_owned()).chain((1..=self.mixers).map(|m| format!("m{m}")));
        let length_ms = self.length_ms.max(1.0);
        let mut body = String::new();
        let mut top = 30.0;
        for lane in lanes {
            top = self.draw_lane(&mut body, &lane, top);
        }
        let height = top + 18.0;
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" font-family=\"monospace\" \
             font-size=\"10\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"10\" y=\"16\" font-size=\"13\">{}</text>\n",
            escaped(&self.title)
        );
        for second in 0..=(length_ms / 1000.0) as usize {
            let x = self.x(second as f64 * 1000.0);
            let _ = writeln!(
                svg,
                "<line x1=\"{x:.1}\" y1=\"24\" x2=\"{x:.1}\" y2=\"{height}\" stroke=\"#eee\"/>"
            );
            let _ =
                writeln!(svg, "<text x=\"{x:.1}\" y=\"{:.0}\" fill=\"#999\">{second}s</text>", height - 4.0);
        }
        svg + &body + "</svg>\n"
    }

    /// The horizontal position of a time in the drawing.
    fn x(&self, at_ms: f64) -> f64 {
        LEFT + (WIDTH - LEFT - 20.0) * (at_ms / self.length_ms.max(1.0)).clamp(0.0, 1.0)
    }

    /// Draws the events of one mixer or of the harness below `top`. Returns the top of the next lane.
    fn draw_lane(&self, body: &mut String, lane: &str, top: f64) -> f64 {
        let colour = if lane == HARNESS_LANE { "#b00" } else { "#036" };
        let _ = writeln!(body, "<line x1=\"0\" y1=\"{top}\" x2=\"{WIDTH}\" y2=\"{top}\" stroke=\"#ccc\"/>");
        let _ = writeln!(body, "<text x=\"8\" y=\"{:.0}\" font-size=\"13\">{lane}</text>", top + 16.0);
        // Each entry goes into the first row where it overlaps no other.
        let mut row_ends: Vec<f64> = Vec::new();
        for entry in self.timeline.iter().filter(|entry| entry.who == lane) {
            let what: String = entry.what.chars().take(MAX_CHARACTERS).collect();
            let x = self.x(entry.at_ms);
            let width = what.chars().count() as f64 * CHARACTER_WIDTH;
            // A text that would exceed the right border goes to the left of its time.
            let text_on_left = x + 6.0 + width > WIDTH;
            let (start, end) =
                if text_on_left { (x - 6.0 - width, x + 6.0) } else { (x - 3.0, x + 8.0 + width) };
            let row = row_ends.iter().position(|row_end| *row_end < start).unwrap_or(row_ends.len());
            match row_ends.get_mut(row) {
                Some(row_end) => *row_end = end,
                None => row_ends.push(end),
            }
            let y = top + 14.0 + ROW_HEIGHT * row as f64;
            let _ = writeln!(body, "<circle cx=\"{x:.1}\" cy=\"{:.1}\" r=\"2\" fill=\"{colour}\"/>", y - 3.0);
            let (text_x, anchor) =
                if text_on_left { (x - 4.0, " text-anchor=\"end\"") } else { (x + 4.0, "") };
            let what = escaped(&what);
            let _ = writeln!(
                body,
                "<text x=\"{text_x:.1}\" y=\"{y:.1}\" fill=\"{colour}\"{anchor}>{what}</text>"
            );
        }
        top + (12.0 + ROW_HEIGHT * row_ends.len().max(1) as f64)
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.held() { "held" } else { "DID NOT HOLD" };
        writeln!(f, "{}: {verdict} ({:.1} s, seed {})", self.title, self.length_ms / 1000.0, self.seed)?;
        for violation in &self.violations {
            writeln!(
                f,
                "  broken: {} at {:.1} s by {}: {}",
                violation.rule,
                violation.at_ms / 1000.0,
                violation.who,
                violation.what
            )?;
        }
        for expectation in &self.expectations {
            let verdict = if expectation.held { "held after" } else { "not within" };
            writeln!(
                f,
                "  {} {verdict} {:.1} s{}{}",
                expectation.expect,
                expectation.took_ms / 1000.0,
                if expectation.held { "" } else { ": " },
                if expectation.held { "" } else { &expectation.seen }
            )?;
        }
        let ScanSummary { asked, completed, refused, abandoned, killed, unreached, p50_ms, p99_ms } =
            self.scans;
        writeln!(
            f,
            "  scans {asked}: completed {completed}, refused {refused}, abandoned {abandoned}, with a killed mixer {killed}, \
             unreached {unreached}; p50 {p50_ms:.0} ms, p99 {p99_ms:.0} ms"
        )?;
        for hung in &self.hung {
            let marked: Vec<String> = hung.marked_ms.iter().map(|ms| format!("{ms:.0}")).collect();
            writeln!(
                f,
                "  {} hung: marked after {} ms, {} parts sent there",
                hung.searcher,
                marked.join(", "),
                hung.parts
            )?;
        }
        if !self.costs.is_empty() {
            let processes = self.costs.len() as f64;
            let (cpu_ms, rss_kib) =
                self.costs.iter().fold((0.0, 0), |sum, c| (sum.0 + c.cpu_ms, sum.1 + c.rss_kib));
            writeln!(
                f,
                "  each process: {:.0} ms of processor time, {:.0} KiB",
                cpu_ms / processes,
                rss_kib as f64 / processes
            )?;
        }
        if !self.held() {
            for entry in &self.timeline {
                writeln!(f, "  {:>7.2} {:<4} {}", entry.at_ms / 1000.0, entry.who, entry.what)?;
            }
        }
        Ok(())
    }
}
