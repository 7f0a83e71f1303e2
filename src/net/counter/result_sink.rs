//! Reports the outcomes of calls to the counter service to the decision engine.

use std::cell::Cell;
use std::rc::Rc;

use crate::decision::{CounterKey, Event, Outcome};
use crate::net::event_sink::EventSink;

/// Reports the outcomes of calls to the decision engine.
#[derive(Clone)]
pub struct ResultSink {
    /// Where the outcomes are sent.
    pub events: Rc<dyn EventSink>,
    /// The number of calls whose outcome has not been reported yet.
    pub open_calls: Rc<Cell<usize>>,
}

impl ResultSink {
    /// Reports the outcome of a call that was not reported before. `total` is valid with [`Outcome::Ok`].
    pub fn report(&self, key: CounterKey, outcome: Outcome, total: f64) {
        self.open_calls.set(self.open_calls.get() - 1);
        self.events.send(Event::CounterReplied { key, outcome, total });
    }

    /// Reports what became of a call that was reported as timed out. Calls for one key have to be reported in
    /// the order in which they were made, since the decision engine matches them by their key.
    pub fn report_late(&self, key: CounterKey, outcome: Outcome, total: f64) {
        self.events.send(Event::LateCounterReply { key, outcome, total });
    }
}
