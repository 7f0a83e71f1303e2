//! The one ordered event queue and its simulated clock.

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
    /// Reversed: the heap gives its greatest first, and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events in the order of their times, and those of one time in the order in which they were put in.
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    sequence: u64,
    now: Micros,
}

impl<E> Queue<E> {
    /// An empty queue at this time.
    pub fn new(now: Micros) -> Self {
        Queue { heap: BinaryHeap::new(), sequence: 0, now }
    }

    /// The time of the latest event taken out, in microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Puts an event in; a time that is past counts as now.
    pub fn at(&mut self, at: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.sequence, event });
    }

    /// Takes the next event out and moves the clock to it.
    pub fn next(&mut self) -> Option<E> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
