//! Reads the processor time and memory of a process from `/proc`.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::time::Duration;

use tokio::time::Instant;

use crate::error::BenchError;
use crate::memory::Memory;

/// Number of fields of `/proc/PID/stat` between the process name and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// How long a thread has run on a processor, and how long it has waited for one.
#[derive(Debug, Clone, Copy, Default)]
struct ThreadTimes {
    running: Duration,
    waiting: Duration,
}

/// Scheduler times of threads by thread id.
type ThreadTimesById = BTreeMap<OsString, ThreadTimes>;

/// Processor time and memory that a process has used up to a point in time.
#[derive(Debug, Clone)]
pub struct Usage {
    /// Scheduler times of the threads that exist. `None` if the kernel does not report them.
    threads: Option<ThreadTimesById>,
    /// Processor time of all threads, including those that have ended, in whole clock ticks.
    ticks: Duration,
    /// Memory of the process.
    pub memory: Memory,
    read_at: Instant,
}

impl Usage {
    /// Reads the usage of a process from `/proc`.
    ///
    /// # Errors
    /// Returns an error if there is no such process or it has exited.
    pub fn of(process_id: u32) -> Result<Usage, BenchError> {
        let read_at = Instant::now();
        let threads = read_thread_times(process_id);
        let ticks = read_ticks(process_id)?;
        let memory = Memory::of(&process_id.to_string())?;
        let memory = memory.ok_or_else(|| BenchError::EdgeNode("its process has exited".into()))?;
        Ok(Usage { threads, ticks, memory, read_at })
    }

    /// Returns the processor time used since an earlier reading, in percent of one core.
    ///
    /// The result is the larger of two measures, because each can miss time. The process's time is counted in
    /// whole clock ticks, which is too coarse for an idle edge node: one tick is 10 ms, more than the node
    /// uses in several seconds. One tick is subtracted from the difference of two readings, because the
    /// difference may be too large by up to one tick. The scheduler's times are exact, but those of a thread
    /// are lost once the thread has ended.
    pub fn cpu_percent_since(&self, earlier: &Usage) -> f64 {
        let ticks = self.ticks.saturating_sub(earlier.ticks + clock_tick());
        let cpu_time = match self.thread_times_since(earlier) {
            Some(times) => times.running.max(ticks),
            None => ticks,
        };
        100.0 * cpu_time.as_secs_f64() / self.seconds_since(earlier)
    }

    /// Returns the time for which threads waited for a processor since an earlier reading, summed over all
    /// threads, in percent of the time between the readings. Returns `None` if the kernel does not report it.
    pub fn waiting_percent_since(&self, earlier: &Usage) -> Option<f64> {
        let times = self.thread_times_since(earlier)?;
        Some(100.0 * times.waiting.as_secs_f64() / self.seconds_since(earlier))
    }

    /// Returns the scheduler times since an earlier reading, summed over the threads that still exist.
    /// Returns `None` if the kernel does not report them.
    fn thread_times_since(&self, earlier: &Usage) -> Option<ThreadTimes> {
        let earlier_threads = earlier.threads.as_ref()?;
        let mut sum = ThreadTimes::default();
        for (id, times) in self.threads.as_ref()? {
            let before = earlier_threads.get(id).copied().unwrap_or_default();
            sum.running += times.running.saturating_sub(before.running);
            sum.waiting += times.waiting.saturating_sub(before.waiting);
        }
        Some(sum)
    }

    fn seconds_since(&self, earlier: &Usage) -> f64 {
        self.read_at.duration_since(earlier.read_at).as_secs_f64().max(1e-9)
    }
}

/// Reads the first two fields of each thread's `schedstat`: its running and its waiting time in nanoseconds.
/// Returns `None` if the files can't be read, or if the kernel does not fill in the fields.
fn read_thread_times(process_id: u32) -> Option<ThreadTimesById> {
    let mut threads = ThreadTimesById::new();
    for thread in std::fs::read_dir(format!("/proc/{process_id}/task")).ok()? {
        let thread = thread.ok()?;
        // A thread that has ended since the directory was listed is left out.
        let Ok(text) = std::fs::read_to_string(thread.path().join("schedstat")) else { continue };
        let mut fields = text.split_whitespace().map_while(|field| field.parse().ok());
        let running = Duration::from_nanos(fields.next()?);
        let waiting = Duration::from_nanos(fields.next()?);
        threads.insert(thread.file_name(), ThreadTimes { running, waiting });
    }
    let is_filled_in = threads.values().any(|times| !times.running.is_zero());
    is_filled_in.then_some(threads)
}

/// Returns the length of a clock tick of the kernel's process times.
fn clock_tick() -> Duration {
    Duration::from_secs_f64(1.0 / rustix::param::clock_ticks_per_second().max(1) as f64)
}

/// Returns the processor time of a process, the sum of `utime` and `stime` in `/proc/PID/stat`.
fn read_ticks(process_id: u32) -> Result<Duration, BenchError> {
    let path = format!("/proc/{process_id}/stat");
    let stat = std::fs::read_to_string(&path).map_err(|source| BenchError::File { path, source })?;
    // The process name stands in parentheses and may itself contain spaces and parentheses.
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let times = after_name.split_whitespace().skip(FIELDS_BEFORE_UTIME).take(2);
    let ticks: u64 = times.map(|field| field.parse().unwrap_or(0)).sum();
    Ok(clock_tick().mul_f64(ticks as f64))
}
