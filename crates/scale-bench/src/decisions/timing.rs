//! Measures how long the engine takes to handle events, by kind of event.

use std::collections::BTreeMap;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::{Duration, Instant};

/// A kind of event whose times are reported separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventKind {
    /// The first endpoint list, which the node receives whole.
    FirstList,
    /// The arrival of a request.
    Request,
    /// A [`Request`](Self::Request) or [`CounterReply`](Self::CounterReply) that started attempts, and thus
    /// selected endpoints. It is recorded in addition to its own kind, with its time divided by the number of
    /// attempts.
    Decision,
    /// A reply of the counter service.
    CounterReply,
    /// The end of an attempt.
    AttemptEnd,
    /// A timer that fires.
    Timer,
    /// A change of one entry of the endpoint list.
    ListChange,
    /// A whole list in which nothing changed.
    SameList,
    /// A whole list that replaces all endpoints.
    OtherList,
}

impl EventKind {
    /// All kinds, in the order in which they are reported.
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

    /// Returns the prefix of the names of this kind's figures.
    pub fn figure_prefix(self) -> &'static str {
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

/// Measures the time for which a thread runs, excluding the time for which it waits for a processor.
///
/// A machine that also runs other work can suspend a thread for milliseconds, many times longer than an event
/// takes. Means that include these waits would describe the machine and not the engine.
pub struct Stopwatch {
    /// File in which the kernel reports how long the thread has waited; `None` if the kernel doesn't have it.
    schedstat: Option<File>,
}

/// A measurement that has been started.
pub struct StartedStopwatch {
    /// Total wait of the thread before the start; `None` if it is unknown.
    waited_before: Option<Duration>,
    started_at: Instant,
}

impl Stopwatch {
    /// Creates a stopwatch for the calling thread.
    pub fn for_this_thread() -> Self {
        Stopwatch { schedstat: File::open("/proc/thread-self/schedstat").ok() }
    }

    /// Returns whether the kernel reports the time waited for a processor. If not, measurements include it.
    pub fn excludes_waiting(&self) -> bool {
        self.waited().is_some()
    }

    /// Starts a measurement.
    pub fn start(&self) -> StartedStopwatch {
        let waited_before = self.waited();
        StartedStopwatch { waited_before, started_at: Instant::now() }
    }

    /// Ends a measurement and returns the measured time.
    pub fn stop(&self, started: StartedStopwatch) -> Duration {
        let elapsed = started.started_at.elapsed();
        let Some(waited_before) = started.waited_before else { return elapsed };
        let Some(waited_after) = self.waited() else { return elapsed };
        let waited = waited_after.saturating_sub(waited_before);
        // A wait that is not shorter than the measurement fell between the readings of the two clocks,
        // outside of the measurement, so it is not subtracted.
        if waited < elapsed {
            elapsed - waited
        } else {
            elapsed
        }
    }

    /// Returns how long the thread has waited for a processor since it started; `None` if that is unknown.
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
    /// Records the time that an event took.
    pub fn record(&mut self, kind: EventKind, time: Duration) {
        self.by_kind.entry(kind).or_default().push(time);
    }

    /// Returns the summary of the times of one kind of event.
    pub fn summary(&self, kind: EventKind) -> TimeSummary {
        TimeSummary::of(self.by_kind.get(&kind).map_or(&[], Vec::as_slice))
    }

    /// Returns the total time of all events of these kinds, in seconds.
    pub fn total_seconds(&self, kinds: &[EventKind]) -> f64 {
        let times = kinds.iter().filter_map(|kind| self.by_kind.get(kind)).flatten();
        times.sum::<Duration>().as_secs_f64()
    }
}

/// Summary of the times of one kind of event, in microseconds; all zero if there were no events.
pub struct TimeSummary {
    /// Number of events.
    pub count: usize,
    /// Median, in microseconds.
    pub p50: f64,
    /// 99th percentile, in microseconds.
    pub p99: f64,
    /// Mean, in microseconds.
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

/// Returns the smallest of the sorted values for which at least this share of the values is not larger; 0 if
/// there are no values.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (share * sorted.len() as f64).ceil().max(1.0) as usize;
    sorted.get(rank - 1).copied().unwrap_or(0.0)
}
