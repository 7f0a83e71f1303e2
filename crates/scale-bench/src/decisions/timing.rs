//! Times the engine's handling of events, by kind of event.

use std::collections::BTreeMap;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::{Duration, Instant};

/// A kind of event that is timed by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventKind {
    /// The first endpoint list.
    FirstList,
    /// A request.
    Request,
    /// A request, or the counter's reply to it, that started an attempt: here an endpoint is selected.
    Decision,
    /// A reply of the counter service.
    CounterReply,
    /// The end of an attempt.
    AttemptEnd,
    /// A timer.
    Timer,
    /// A list change of one entry.
    ListChange,
    /// A whole list in which nothing changed.
    SameList,
    /// A whole list that replaces all endpoints.
    OtherList,
}

impl EventKind {
    /// All kinds, in the order of the report.
    pub const ALL: [EventKind; 9] = [
        EventKind::FirstList,
        EventKind::Request,
        EventKind::Decision,
        EventKind::CounterReply,
        EventKind::AttemptEnd,
        EventKind::Timer,
        EventKind::ListChange,
        EventKind::SameList,
        EventKind::OtherList,
    ];

    /// The name of its figures.
    pub fn figure_name(self) -> &'static str {
        match self {
            EventKind::FirstList => "first_list",
            EventKind::Request => "request",
            EventKind::Decision => "decision",
            EventKind::CounterReply => "counted",
            EventKind::AttemptEnd => "answer",
            EventKind::Timer => "tick",
            EventKind::ListChange => "change",
            EventKind::SameList => "whole_same",
            EventKind::OtherList => "whole_other",
        }
    }
}

/// Measures the time that this thread runs, without what it waits for a processor.
///
/// A machine that runs other work stops a thread for milliseconds, many times what an event takes, and the means
/// would describe the machine alone.
pub struct Stopwatch {
    /// Where the kernel reports how long the thread has waited; `None` if it does not.
    schedstat: Option<File>,
}

/// A measurement that was started.
pub struct StartedStopwatch {
    waited_before: Option<Duration>,
    started_at: Instant,
}

impl Stopwatch {
    /// Creates a stopwatch for the thread that calls this.
    pub fn for_this_thread() -> Self {
        Stopwatch { schedstat: File::open("/proc/thread-self/schedstat").ok() }
    }

    /// Whether the time waited for a processor is known.
    pub fn excludes_waiting(&self) -> bool {
        self.waited().is_some()
    }

    /// Starts a measurement.
    pub fn start(&self) -> StartedStopwatch {
        let waited_before = self.waited();
        StartedStopwatch { waited_before, started_at: Instant::now() }
    }

    /// Ends a measurement.
    pub fn stop(&self, started: StartedStopwatch) -> Duration {
        let elapsed = started.started_at.elapsed();
        let Some(waited_before) = started.waited_before else { return elapsed };
        let Some(waited_after) = self.waited() else { return elapsed };
        let waited = waited_after.saturating_sub(waited_before);
        // A wait as long as the whole measurement was between the readings of the two clocks, not in it.
        if waited < elapsed {
            elapsed - waited
        } else {
            elapsed
        }
    }

    /// How long the thread has waited for a processor since it started.
    fn waited(&self) -> Option<Duration> {
        let mut text = [0; 96];
        let length = self.schedstat.as_ref()?.read_at(&mut text, 0).ok()?;
        let text = std::str::from_utf8(&text[..length]).ok()?;
        text.split_whitespace().nth(1)?.parse().ok().map(Duration::from_nanos)
    }
}

/// The times of events, by kind.
#[derive(Default)]
pub struct Timings {
    by_kind: BTreeMap<EventKind, Vec<Duration>>,
}

impl Timings {
    /// Adds the time of an event.
    pub fn record(&mut self, kind: EventKind, time: Duration) {
        self.by_kind.entry(kind).or_default().push(time);
    }

    /// The times of one kind of event in short.
    pub fn summary(&self, kind: EventKind) -> TimeSummary {
        TimeSummary::of(self.by_kind.get(&kind).map_or(&[], Vec::as_slice))
    }

    /// The time of all events of these kinds, in seconds.
    pub fn total_seconds(&self, kinds: &[EventKind]) -> f64 {
        let times = kinds.iter().filter_map(|kind| self.by_kind.get(kind)).flatten();
        times.sum::<Duration>().as_secs_f64()
    }
}

/// Times of one kind of event, in microseconds.
pub struct TimeSummary {
    /// How many events there were.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Mean.
    pub mean: f64,
}

impl TimeSummary {
    fn of(times: &[Duration]) -> TimeSummary {
        let mut micros: Vec<f64> = times.iter().map(|time| time.as_secs_f64() * 1e6).collect();
        micros.sort_by(f64::total_cmp);
        TimeSummary {
            count: micros.len(),
            p50: quantile(&micros, 0.5),
            p99: quantile(&micros, 0.99),
            mean: micros.iter().sum::<f64>() / micros.len().max(1) as f64,
        }
    }
}

/// The smallest of the sorted values that at least this share of them does not exceed; 0 if there are none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (share * sorted.len() as f64).ceil().max(1.0) as usize;
    sorted.get(rank - 1).copied().unwrap_or(0.0)
}
