//! Failures by name: what breaks, when, and what recovers.
//!
//! A [`FailurePlan`] only says what happens; the simulated world carries its effects out.

use edge_node::decision::Micros;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;

use super::counter::CounterMode;
use super::failure_name::Failure;
use super::node::{EndpointIndex, NodeIndex};
use super::scenario::Scenario;

/// How long an endpoint of a release drains before its process ends, in microseconds.
const DRAIN_TIME: Micros = 2_000_000;
/// With `restart-tenth` one node in this many restarts.
const RESTARTED_NODE_DIVISOR: usize = 10;

/// One step of a failure.
#[derive(Debug, Clone, Copy)]
pub enum FailureStep {
    /// The failure starts.
    Start,
    /// The failure ends.
    End,
    /// This group of a release drains.
    Drain(u32),
    /// This group of a release is replaced.
    Replace(u32),
}

/// A step and its time.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledStep {
    /// When it is carried out.
    pub at: Micros,
    /// The step.
    pub step: FailureStep,
}

/// What a step does to the world. The effects of a step are carried out in their order.
#[derive(Debug, Clone, Copy)]
pub enum FailureEffect {
    /// A node's process ends and its connections are reset.
    StopNode(NodeIndex),
    /// A node becomes unresponsive.
    VanishNode(NodeIndex),
    /// A node's process starts again after the boot time.
    BootNode(NodeIndex),
    /// An endpoint becomes unresponsive.
    VanishEndpoint(EndpointIndex),
    /// A vanished endpoint starts again and has to warm up.
    RestartEndpoint(EndpointIndex),
    /// The list shows an endpoint as draining.
    DrainEndpoint(EndpointIndex),
    /// An endpoint's process ends and a new endpoint starts in its zone.
    ReplaceEndpoint(EndpointIndex),
    /// A region is cut off from all others; `None` joins it to them again.
    IsolateRegion(Option<u32>),
    /// The counter service changes what it does with calls.
    SetCounterMode(CounterMode),
}

/// Where nodes and endpoints are when a step is carried out.
pub struct FleetLayout {
    /// By node, its zone.
    pub node_zones: Vec<u32>,
    /// By endpoint, its zone.
    pub endpoint_zones: Vec<u32>,
}

/// The failure of one run.
pub struct FailurePlan {
    failure: Failure,
    starts_at: Micros,
    duration: Micros,
    zones: u32,
    regions: u32,
    rack_share: f64,
    release_share: f64,
    release_steps: u32,
    /// What vanished and has to come back.
    vanished_endpoints: Vec<EndpointIndex>,
    vanished_nodes: Vec<NodeIndex>,
    /// The endpoints that a release replaces, in its order.
    released: Vec<EndpointIndex>,
}

impl FailurePlan {
    /// Creates the plan of a scenario's failure.
    pub fn new(scenario: &Scenario) -> Self {
        FailurePlan {
            failure: scenario.fail,
            starts_at: scenario.failure_starts_at(),
            duration: scenario.fail_for_ms * 1_000,
            zones: scenario.zones,
            regions: scenario.regions,
            rack_share: scenario.rack_share,
            release_share: scenario.release_share,
            release_steps: scenario.release_steps,
            vanished_endpoints: Vec::new(),
            vanished_nodes: Vec::new(),
            released: Vec::new(),
        }
    }

    /// Draws what has to be known from the start, and returns the steps in the order in which to schedule them.
    pub fn schedule(&mut self, random: &mut StdRng, endpoint_count: usize) -> Vec<ScheduledStep> {
        match self.failure {
            Failure::Calm => Vec::new(),
            Failure::Release => {
                self.released = draw_share(random, endpoint_count, self.release_share);
                self.release_schedule()
            }
            _ => vec![
                ScheduledStep { at: self.starts_at, step: FailureStep::Start },
                ScheduledStep { at: self.starts_at + self.duration, step: FailureStep::End },
            ],
        }
    }

    /// Returns the effects of a step.
    pub fn effects(
        &mut self,
        step: FailureStep,
        random: &mut StdRng,
        layout: &FleetLayout,
    ) -> Vec<FailureEffect> {
        match step {
            FailureStep::Start => self.start(random, layout),
            FailureStep::End => self.end(),
            FailureStep::Drain(group) => {
                self.released_group(group).iter().copied().map(FailureEffect::DrainEndpoint).collect()
            }
            FailureStep::Replace(group) => {
                self.released_group(group).iter().copied().map(FailureEffect::ReplaceEndpoint).collect()
            }
        }
    }

    fn start(&mut self, random: &mut StdRng, layout: &FleetLayout) -> Vec<FailureEffect> {
        let node_count = layout.node_zones.len();
        match self.failure {
            Failure::RestartTenth => {
                let nodes = draw(random, node_count, node_count.div_ceil(RESTARTED_NODE_DIVISOR));
                nodes
                    .into_iter()
                    .flat_map(|node| [FailureEffect::StopNode(node), FailureEffect::BootNode(node)])
                    .collect()
            }
            Failure::Rack => {
                self.vanished_endpoints = draw_share(random, layout.endpoint_zones.len(), self.rack_share);
                self.vanish()
            }
            Failure::Zone => {
                let zone = random.random_range(0..self.zones);
                self.vanished_endpoints = indices_in_zone(&layout.endpoint_zones, zone);
                self.vanished_nodes = indices_in_zone(&layout.node_zones, zone);
                self.vanish()
            }
            Failure::HalfDown => {
                self.vanished_nodes = draw(random, node_count, node_count / 2);
                self.vanish()
            }
            Failure::RegionCut => {
                let region = random.random_range(0..self.regions);
                vec![FailureEffect::IsolateRegion(Some(region))]
            }
            Failure::CounterSilent => vec![FailureEffect::SetCounterMode(CounterMode::Silent)],
            Failure::CounterBusy => vec![FailureEffect::SetCounterMode(CounterMode::Busy)],
            Failure::Calm | Failure::Release => Vec::new(),
        }
    }

    fn end(&mut self) -> Vec<FailureEffect> {
        match self.failure {
            Failure::Rack | Failure::Zone | Failure::HalfDown => self.recover(),
            Failure::RegionCut => vec![FailureEffect::IsolateRegion(None)],
            Failure::CounterSilent | Failure::CounterBusy => {
                vec![FailureEffect::SetCounterMode(CounterMode::Serving)]
            }
            Failure::Calm | Failure::RestartTenth | Failure::Release => Vec::new(),
        }
    }

    fn vanish(&self) -> Vec<FailureEffect> {
        let endpoints = self.vanished_endpoints.iter().copied().map(FailureEffect::VanishEndpoint);
        let nodes = self.vanished_nodes.iter().copied().map(FailureEffect::VanishNode);
        endpoints.chain(nodes).collect()
    }

    fn recover(&mut self) -> Vec<FailureEffect> {
        let endpoints = self.vanished_endpoints.drain(..).map(FailureEffect::RestartEndpoint);
        let nodes = self.vanished_nodes.drain(..).map(FailureEffect::BootNode);
        endpoints.chain(nodes).collect()
    }

    fn release_schedule(&self) -> Vec<ScheduledStep> {
        let mut steps = Vec::new();
        for group in 0..self.release_steps {
            let offset = self.duration * Micros::from(group) / Micros::from(self.release_steps);
            let at = self.starts_at + offset;
            steps.push(ScheduledStep { at, step: FailureStep::Drain(group) });
            steps.push(ScheduledStep { at: at + DRAIN_TIME, step: FailureStep::Replace(group) });
        }
        steps
    }

    /// The endpoints of one group of a release.
    fn released_group(&self, group: u32) -> &[EndpointIndex] {
        let count = self.released.len();
        let groups = self.release_steps as usize;
        let from = count * group as usize / groups;
        let to = count * (group as usize + 1) / groups;
        &self.released[from..to]
    }
}

/// Draws `drawn` of the indices below `count`, in random order.
fn draw(random: &mut StdRng, count: usize, drawn: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..count).collect();
    order.shuffle(random);
    order.truncate(drawn);
    order
}

/// Draws a share of the indices below `count`, at least one of them, in random order.
fn draw_share(random: &mut StdRng, count: usize, share: f64) -> Vec<usize> {
    let drawn = (count as f64 * share).round() as usize;
    draw(random, count, drawn.max(1))
}

fn indices_in_zone(zones: &[u32], zone: u32) -> Vec<usize> {
    (0..zones.len()).filter(|&index| zones[index] == zone).collect()
}
