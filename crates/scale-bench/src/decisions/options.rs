//! The arguments of `decisions`: their bounds, and the command line of a run in another process.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

use crate::error::BenchError;
use crate::report::Output;

/// The arguments of `decisions`. Each field has the name of its command-line option. These names call
/// endpoints `servers`, and accounts `customers`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// Number of endpoints (app servers) in the endpoint list
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=200_000))]
    pub servers: u32,
    /// Number of edge nodes in the fleet according to the node's settings
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub nodes: u32,
    /// Index of the measured node, from 0; drawn from the seed by default
    #[arg(long)]
    pub me: Option<u32>,
    /// Seed of all random draws, including the engine's
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Mean number of requests per second
    #[arg(long, default_value_t = 130.0)]
    pub rate: f64,
    /// Share of requests whose plan has a quota, from 0 to 1
    #[arg(long, default_value_t = 0.5)]
    pub quota_share: f64,
    /// Number of accounts (customers) with a quota; as many accounts without a quota send requests, too
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub customers: u32,
    /// Mean response time of an endpoint, in milliseconds
    #[arg(long, default_value_t = 50.0)]
    pub answer_ms: f64,
    /// Mean number of endpoint list changes per second, of one entry each
    #[arg(long, default_value_t = 0.6)]
    pub changes_per_s: f64,
    /// Duration of the load before timing starts, in simulated seconds
    #[arg(long, default_value_t = 2.0)]
    pub warm_up_s: f64,
    /// Duration of the timed load, in simulated seconds
    #[arg(long, default_value_t = 8.0)]
    pub run_s: f64,
    /// Number of whole lists that are timed without a change, and again as many that replace all endpoints
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub whole_lists: u32,
    /// Time limit of a run in real seconds; a run that takes longer fails
    #[arg(long, default_value_t = 300.0)]
    pub limit_s: f64,
    /// Another build of this program, which is run alternately with this one to report the ratios of their
    /// figures
    #[arg(long, value_name = "PROGRAM")]
    pub beside: Option<PathBuf>,
    /// Number of endpoints in the runs of the other build; the same as for this build by default
    #[arg(long, requires = "beside", value_parser = clap::value_parser!(u32).range(1..=200_000))]
    pub beside_servers: Option<u32>,
    /// Number of edge nodes in the runs of the other build; the same as for this build by default
    #[arg(long, requires = "beside", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub beside_nodes: Option<u32>,
    /// Number of rounds in which both builds are compared, each with a seed of its own
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(3..=100))]
    pub rounds: u32,
    /// The format and destination of the figures.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

impl Options {
    /// Checks the bounds that the command-line parser does not check.
    ///
    /// # Errors
    /// Returns an error if an argument is out of bounds.
    pub fn check(&self) -> Result<(), BenchError> {
        check_bounds("rate", self.rate, 0.1, 100_000.0)?;
        check_bounds("quota-share", self.quota_share, 0.0, 1.0)?;
        check_bounds("answer-ms", self.answer_ms, 0.1, 1_000.0)?;
        check_bounds("changes-per-s", self.changes_per_s, 0.0, 1_000.0)?;
        check_bounds("warm-up-s", self.warm_up_s, 0.0, 600.0)?;
        check_bounds("run-s", self.run_s, 0.1, 600.0)?;
        check_bounds("limit-s", self.limit_s, 0.1, 3_600.0)?;
        match self.me {
            Some(me) if me >= self.nodes => {
                Err(BenchError::Argument(format!("--me {me} is no node of {}", self.nodes)))
            }
            _ => Ok(()),
        }
    }

    /// Returns the arguments for one run in another process, which prints its report as JSON.
    pub fn command_line(&self, seed: u64, servers: u32, nodes: u32) -> Vec<String> {
        let mut line = vec!["decisions".to_string(), "--json".into()];
        let mut add = |name: &str, value: String| line.extend([format!("--{name}"), value]);
        add("servers", servers.to_string());
        add("nodes", nodes.to_string());
        if let Some(me) = self.me {
            add("me", me.to_string());
        }
        add("seed", seed.to_string());
        add("rate", self.rate.to_string());
        add("quota-share", self.quota_share.to_string());
        add("customers", self.customers.to_string());
        add("answer-ms", self.answer_ms.to_string());
        add("changes-per-s", self.changes_per_s.to_string());
        add("warm-up-s", self.warm_up_s.to_string());
        add("run-s", self.run_s.to_string());
        add("whole-lists", self.whole_lists.to_string());
        add("limit-s", self.limit_s.to_string());
        line
    }
}

fn check_bounds(name: &str, value: f64, least: f64, most: f64) -> Result<(), BenchError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(BenchError::Argument(format!("--{name} {value} is out of bounds: expected {least} to {most}")))
}
