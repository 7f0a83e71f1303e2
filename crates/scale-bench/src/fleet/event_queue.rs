//! The event queue of a simulation run, which also is the simulated clock.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use edge_node::decision::Micros;

struct Entry<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// Compares in reverse order, because the heap returns its greatest entry first and the queue needs the
    /// earliest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events ordered by time. Events of the same time keep the order in which they were scheduled.
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    sequence: u64,
    now: Micros,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue whose clock starts at `now`.
    pub fn new(now: Micros) -> Self {
        EventQueue { heap: BinaryHeap::new(), sequence: 0, now }
    }

    /// Returns the simulated time in microseconds: the time of the event that was last taken out, or the
    /// start time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event at `at`, or now if `at` is in the past.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.sequence, event });
    }

    /// Takes the next event out and advances the clock to its time. Returns `None` if no event is scheduled.
    pub fn pop(&mut self) -> Option<E> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
