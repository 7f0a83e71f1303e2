//! Remembers the ids of requests whose client has left although they may have run, so that they do not run
//! once more when the same id comes again.

use std::collections::{BTreeMap, VecDeque};

use crate::decision::{Micros, RequestId};

/// The largest number of ids that are remembered. Beyond it, the id that was added first is forgotten.
const MAX_IDS: usize = 1024;

/// The ids of requests whose client has left and that may have run. Each is remembered until the deadline of
/// its request.
#[derive(Default)]
pub struct DepartedRequests {
    /// The deadlines, in microseconds of Unix time.
    deadlines: BTreeMap<RequestId, Micros>,
    /// The same ids, in the order in which they were added.
    order: VecDeque<RequestId>,
}

impl DepartedRequests {
    /// Adds a request with this deadline, in microseconds of Unix time.
    pub fn add(&mut self, id: RequestId, deadline: Micros) {
        if self.deadlines.insert(id.clone(), deadline).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_IDS {
            if let Some(first) = self.order.pop_front() {
                self.deadlines.remove(&first);
            }
        }
    }

    /// Returns whether the deadline of a request with this id is still to come at `now`.
    pub fn contains(&mut self, id: &RequestId, now: Micros) -> bool {
        self.forget_overdue(now);
        self.deadlines.get(id).is_some_and(|&deadline| now < deadline)
    }

    /// Forgets the ids at the start of the order whose deadline has passed.
    fn forget_overdue(&mut self, now: Micros) {
        let is_overdue = |id: &RequestId, deadlines: &BTreeMap<RequestId, Micros>| {
            deadlines.get(id).is_none_or(|&deadline| deadline <= now)
        };
        while let Some(first) = self.order.front().filter(|id| is_overdue(id, &self.deadlines)) {
            self.deadlines.remove(first);
            self.order.pop_front();
        }
    }
}
