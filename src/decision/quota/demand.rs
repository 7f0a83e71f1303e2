//! The demand of an account at this node: the units that its clients request, and the units that are drawn
//! from its quota.

use crate::decision::estimators::DecayingRate;
use crate::decision::Micros;

/// Time constant of an account's rates, in microseconds. It spans a few requests of a busy account and is
/// shorter than a spike in load.
pub(super) const RATE_TIME_CONSTANT: f64 = 2.0e6;
/// Weight of a new request in the mean of the units per request.
const MEAN_UNITS_GAIN: f64 = 0.1;

/// The demand of one account. Rates are in units per second.
#[derive(Default)]
pub(super) struct Demand {
    requested: DecayingRate,
    drawn: DecayingRate,
    /// Mean of the units of a request.
    pub mean_units: f64,
}

impl Demand {
    /// Returns the demand of an account whose first request has this many units. The request itself is not
    /// recorded.
    pub fn new(units: f64) -> Self {
        Demand { mean_units: units, ..Demand::default() }
    }

    /// Records a client's request for `units`.
    pub fn record_request(&mut self, units: f64, now: Micros) {
        self.requested.record(now, units, RATE_TIME_CONSTANT);
        self.mean_units += (units - self.mean_units) * MEAN_UNITS_GAIN;
    }

    /// Records that `units` were drawn for a request.
    pub fn record_draw(&mut self, units: f64, now: Micros) {
        self.drawn.record(now, units, RATE_TIME_CONSTANT);
    }

    pub fn requested_rate(&self, now: Micros) -> f64 {
        self.requested.per_second(now, RATE_TIME_CONSTANT)
    }

    pub fn drawn_rate(&self, now: Micros) -> f64 {
        self.drawn.per_second(now, RATE_TIME_CONSTANT)
    }
}
