//! A ladder of sizes, and how each figure grows along it.

pub mod child;
pub mod fit;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};

use crate::error::BenchError;
use crate::report::{tell, Output, Report};
use fit::{Fitted, NoExponent, Point};

/// The most sizes of a ladder.
const SIZES_MOST: usize = 20;
/// Arguments that the ladder sets itself.
const OWN: [&str; 5] = ["--servers", "--nodes", "--seed", "--json", "--out"];

/// Arguments of `slopes`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// What is run at each size
    #[arg(value_enum)]
    pub command: Subject,
    /// Sizes as app servers/edge nodes, two or more
    #[arg(long, value_name = "SERVERS/NODES,...", default_value = "200/300,4600/570,46000/5700")]
    pub sizes: String,
    /// Runs at each size, with a seed each
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=20))]
    pub runs: u32,
    /// The first run's seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// What growth is told against
    #[arg(long, value_enum, default_value_t = Against::Servers)]
    pub against: Against,
    /// The whole ladder ends after this, in seconds; runs that are not done by then have failed
    #[arg(long, default_value_t = 1_800.0)]
    pub limit_s: f64,
    /// Another build of this rig that is run in place of this one
    #[arg(long, value_name = "PROGRAM")]
    pub program: Option<PathBuf>,
    /// Further arguments of the runs
    #[arg(last = true)]
    pub args: Vec<String>,
    /// Where the figures go.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// The subcommand that a ladder runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The decision module alone
    Decisions,
    /// One real edge node process
    Node,
    /// Many decision modules on one clock
    Fleet,
}

/// What growth is told against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Against {
    /// App servers
    Servers,
    /// Edge nodes
    Nodes,
}

/// A step of the ladder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// App servers.
    pub servers: u32,
    /// Edge nodes.
    pub nodes: u32,
}

impl Size {
    fn against(self, against: Against) -> u32 {
        match against {
            Against::Servers => self.servers,
            Against::Nodes => self.nodes,
        }
    }
}

/// One run of the ladder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Its size.
    pub size: Size,
    /// Which run at this size, from 0.
    pub run: u32,
    /// Its seed.
    pub seed: u64,
    /// What it measured; none if it failed.
    pub report: Option<Report>,
    /// Why it failed, in one line.
    pub failure: Option<String>,
}

/// A figure at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AtSize {
    /// The size.
    pub size: Size,
    /// Mean over the runs.
    pub mean: f64,
    /// The least of them.
    pub least: f64,
    /// The most of them.
    pub most: f64,
}

/// How one figure grows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Growth {
    /// The figure's name.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// Its values at the sizes where it was measured.
    pub sizes: Vec<AtSize>,
    /// Its slope, in its unit per server or node.
    pub slope: Option<Fitted>,
    /// The exponent of its growth.
    pub exponent: Option<Fitted>,
    /// Why it has none.
    pub no_exponent: Option<NoExponent>,
}

/// A whole ladder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ladder {
    /// All arguments as given or defaulted, so that it can be made again.
    pub arguments: serde_json::Value,
    /// The sizes, in their order.
    pub sizes: Vec<Size>,
    /// Every run with its figures.
    pub runs: Vec<Run>,
    /// How the figures grow.
    pub figures: Vec<Growth>,
}

/// Runs the ladder and tells how its figures grow.
pub fn run(options: Options) -> Result<(), BenchError> {
    let sizes = options.check()?;
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()
            .map_err(|source| BenchError::System { what: "cannot find this program", source })?,
    };
    let ends = Instant::now() + Duration::from_secs_f64(options.limit_s);
    let mut runs = Vec::new();
    // Each run goes through all sizes: what the machine does meanwhile meets them alike.
    for run in 0..options.runs {
        for &size in &sizes {
            let seed = options.seed.wrapping_add(run.into());
            let line = options.line(size, seed);
            let result = match Instant::now() < ends {
                true => child::run(&program, &line, ends),
                false => Err("not run: the ladder's time was over".into()),
            };
            let (report, failure) = match result {
                Ok(report) => (Some(report), None),
                Err(failure) => (None, Some(failure)),
            };
            runs.push(Run { size, run, seed, report, failure });
        }
    }
    let arguments = serde_json::to_value(&options)
        .map_err(|e| BenchError::System { what: "cannot tell the arguments", source: e.into() })?;
    let figures = growth(&sizes, &runs, options.against);
    let ladder = Ladder { arguments, sizes, runs, figures };
    tell(&ladder, &ladder.table(options.against), &options.output)?;
    let failed = ladder.runs.iter().filter(|r| r.failure.is_some()).count();
    match failed {
        0 => Ok(()),
        _ => Err(BenchError::Argument(format!("{failed} of {} runs failed", ladder.runs.len()))),
    }
}

impl Options {
    fn check(&self) -> Result<Vec<Size>, BenchError> {
        let bad = |text: String| Err(BenchError::Argument(text));
        if !(0.1..=14_400.0).contains(&self.limit_s) {
            return bad(format!("--limit-s {} is not within 0.1 to 14400", self.limit_s));
        }
        let own = |arg: &&String| OWN.iter().any(|own| arg.split('=').next() == Some(own));
        if let Some(arg) = self.args.iter().find(own) {
            return bad(format!("{arg} is set by the ladder itself"));
        }
        let sizes = sizes(&self.sizes)?;
        let first = sizes[0].against(self.against);
        if sizes.iter().all(|s| s.against(self.against) == first) {
            return bad(format!("--sizes {} has one size alone, and nothing grows", self.sizes));
        }
        Ok(sizes)
    }

    fn line(&self, size: Size, seed: u64) -> Vec<String> {
        let command = match self.command {
            Subject::Decisions => "decisions",
            Subject::Node => "node",
            Subject::Fleet => "fleet",
        };
        let (servers, nodes, seed) = (size.servers.to_string(), size.nodes.to_string(), seed.to_string());
        let line = [command, "--json", "--servers", &servers, "--nodes", &nodes, "--seed", &seed];
        line.into_iter().map(String::from).chain(self.args.iter().cloned()).collect()
    }
}

/// Sizes as told in `--sizes`, at least one.
fn sizes(text: &str) -> Result<Vec<Size>, BenchError> {
    let number = |word: &str| word.trim().parse::<u32>().ok().filter(|&n| n > 0);
    let size = |word: &str| {
        let (servers, nodes) = word.split_once('/')?;
        Some(Size { servers: number(servers)?, nodes: number(nodes)? })
    };
    let bad =
        |word: &str| BenchError::Argument(format!("--sizes: {word:?} is not servers/nodes, such as 200/300"));
    let sizes: Vec<Size> =
        text.split(',').map(|word| size(word).ok_or_else(|| bad(word))).collect::<Result<_, _>>()?;
    if sizes.len() > SIZES_MOST {
        return Err(BenchError::Argument(format!(
            "--sizes has {}, over the {SIZES_MOST} allowed",
            sizes.len()
        )));
    }
    Ok(sizes)
}

/// How each figure grows, in the order in which the runs tell them.
fn growth(sizes: &[Size], runs: &[Run], against: Against) -> Vec<Growth> {
    let mut order: Vec<(&str, &str)> = Vec::new();
    let mut values: BTreeMap<&str, Vec<(Size, Point)>> = BTreeMap::new();
    for run in runs {
        for figure in run.report.iter().flat_map(|report| &report.figures) {
            let size = f64::from(run.size.against(against));
            let values = values.entry(&figure.name).or_default();
            if values.is_empty() {
                order.push((&figure.name, &figure.unit));
            }
            values.push((run.size, Point { run: run.run, size, value: figure.value }));
        }
    }
    let one = |(name, unit): (&str, &str)| {
        let values = &values[name];
        let points: Vec<Point> = values.iter().map(|v| v.1).collect();
        let exponent = fit::exponent(&points);
        let at = |&size: &Size| {
            let here = values.iter().filter(|v| v.0 == size).map(|v| v.1.value);
            let (least, most) =
                here.clone().fold((f64::INFINITY, f64::NEG_INFINITY), |(l, m), v| (l.min(v), m.max(v)));
            let count = here.clone().count();
            (count > 0).then(|| AtSize { size, mean: here.sum::<f64>() / count as f64, least, most })
        };
        Growth {
            name: name.into(),
            unit: unit.into(),
            sizes: sizes.iter().filter_map(at).collect(),
            slope: fit::slope(&points),
            exponent: exponent.ok(),
            no_exponent: exponent.err(),
        }
    };
    order.into_iter().map(one).collect()
}

impl Ladder {
    fn table(&self, against: Against) -> String {
        let per = if against == Against::Servers { "server" } else { "node" };
        let mut text = format!("slopes {}\n", self.arguments);
        for figure in &self.figures {
            let fitted = |f: &Fitted| format!("{} ({}..{})", short(f.value), short(f.least), short(f.most));
            let exponent = match (&figure.exponent, figure.no_exponent) {
                (Some(exponent), _) => format!("exponent {}", fitted(exponent)),
                (None, Some(NoExponent::OneSize)) => "no exponent: measured at one size alone".into(),
                (None, _) => "no exponent: zero or negative somewhere".into(),
            };
            let slope = figure.slope.as_ref().map_or("no slope".into(), |s| format!("slope {}", fitted(s)));
            let (name, unit) = (&figure.name, &figure.unit);
            text += &format!("{name} in {unit}: {exponent}; {slope} {unit} per {per}\n");
            for s in &figure.sizes {
                let size = format!("{}/{}", s.size.servers, s.size.nodes);
                let spread = format!("({}..{})", short(s.least), short(s.most));
                text += &format!("  {size:>14}  {:>10}  {spread}\n", short(s.mean));
            }
        }
        for run in &self.runs {
            if let Some(failure) = &run.failure {
                let Size { servers, nodes } = run.size;
                text += &format!("failed: {servers}/{nodes} seed {}: {failure}\n", run.seed);
            }
        }
        text
    }
}

/// Four digits that count.
fn short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    match digits {
        0..=9 => format!("{value:.*}", digits as usize),
        10.. => format!("{value:.3e}"),
        _ => format!("{value:.0}"),
    }
}
