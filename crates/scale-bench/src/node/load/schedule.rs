//! Draws which requests the clients send, and when.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fakes::hash::mix;
use crate::node::configuration::CLASSES;
use crate::node::option_values::Arrivals;
use crate::node::options::Options;

/// A request that the clients are to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// Number of the request, from 0 in the order of sending. The request id is derived from it.
    pub number: u32,
    /// When the request is due, since the start of the load.
    pub due: Duration,
    /// Index of the request class in `CLASSES`.
    pub class: usize,
    /// Whether the account's plan has a quota.
    pub has_quota: bool,
    /// Id of the account that sends the request.
    pub account: u64,
}

/// The requests of a run, in the order in which they are due. The same options give the same requests.
pub struct RequestSchedule {
    requests: Vec<ScheduledRequest>,
}

impl RequestSchedule {
    /// Draws the requests from the seed of the options.
    pub fn draw(options: &Options) -> RequestSchedule {
        let mut random = StdRng::seed_from_u64(mix(options.seed, 2));
        let mut requests = Vec::with_capacity((options.rate * options.load_s) as usize);
        let mean_gap = 1.0 / options.rate;
        let mut due_s = 0.0;
        loop {
            due_s += match options.arrivals {
                Arrivals::Poisson => -(1.0 - random.random::<f64>()).ln() * mean_gap,
                Arrivals::Even => mean_gap,
            };
            if due_s >= options.load_s {
                return RequestSchedule { requests };
            }
            let number = requests.len() as u32;
            requests.push(draw_request(&mut random, options, number, Duration::from_secs_f64(due_s)));
        }
    }

    /// Returns the requests.
    pub fn requests(&self) -> &[ScheduledRequest] {
        &self.requests
    }

    /// Returns the requests by value.
    pub fn into_requests(self) -> Vec<ScheduledRequest> {
        self.requests
    }
}

fn draw_request(random: &mut StdRng, options: &Options, number: u32, due: Duration) -> ScheduledRequest {
    let drawn_share = random.random::<f64>();
    let class = CLASSES.iter().position(|class| drawn_share < class.cumulative_share).unwrap_or(0);
    let has_quota = random.random::<f64>() < options.quota_share;
    let account = random.random_range(0..u64::from(options.tenants));
    // Account ids with a quota are odd and those without are even, so that no account has both kinds of plan.
    let account = account * 2 + u64::from(has_quota);
    ScheduledRequest { number, due, class, has_quota, account }
}
