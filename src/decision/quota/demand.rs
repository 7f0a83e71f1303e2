//! The demand of an account at this node: what its clients request, and what of it is drawn from its quota.

use crate::decision::estimators::DecayingRate;
use crate::decision::Micros;

/// Smoothing of an account's rates, in microseconds: a few requests of a busy account, less than a spike
/// lasts.
pub(super) const RATE_SPAN: f64 = 2.0e6;
/// Weight of a new request in the mean of the units per request.
const MEAN_UNITS_GAIN: f64 = 0.1;

/// Rates are in units per second.
#[derive(Default)]
pub(super) struct Demand {
    requested: DecayingRate,
    drawn: DecayingRate,
    /// Mean of the units of a request.
    pub mean_units: f64,
}

impl Demand {
    /// The demand of an account whose first request has so many units. The request itself is recorded apart.
    pub fn new(units: f64) -> Self {
        Demand { mean_units: units, ..Demand::default() }
    }

    /// A client requests units.
    pub fn record_request(&mut self, units: f64, now: Micros) {
        self.requested.record(now, units, RATE_SPAN);
        self.mean_units += (units - self.mean_units) * MEAN_UNITS_GAIN;
    }

    /// Units are drawn for a request.
    pub fn record_draw(&mut self, units: f64, now: Micros) {
        self.drawn.record(now, units, RATE_SPAN);
    }

    pub fn requested_rate(&self, now: Micros) -> f64 {
        self.requested.per_second(now, RATE_SPAN)
    }

    pub fn drawn_rate(&self, now: Micros) -> f64 {
        self.drawn.per_second(now, RATE_SPAN)
    }
}
